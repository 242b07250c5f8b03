"""Build one executable file from the installed packages, without a network.

The file is a zip archive made by shiv. It holds the program and the libraries
that it imports, copied from the environment that runs this script.
"""

import importlib.metadata
import pathlib
import shutil
import sys
import tempfile
import tomllib
import zipfile

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name
from shiv.cli import main as run_shiv

ROOT = pathlib.Path(__file__).resolve().parent.parent
LAUNCHER = ROOT / "scripts" / "binary_launcher.py"
ENTRY_POINT = "kumquatwalk.cli.main:main"

# Dependencies that are used only to build the libraries, or only by modules
# that the program does not import.
BUILD_ONLY = frozenset(("jinja2", "markupsafe", "pbr", "setuptools"))
SOURCE_SUFFIXES = frozenset((".c", ".cpp", ".h", ".pxd", ".pyi", ".pyx"))
IGNORED_DIRECTORIES = frozenset(("__pycache__", "test", "tests", "bin"))


def read_dependencies() -> list[str]:
    """Return the dependencies declared in ``pyproject.toml``."""
    text = (ROOT / "pyproject.toml").read_text(encoding="utf-8")
    return tomllib.loads(text)["project"]["dependencies"]


def collect_distributions(
    requirements: list[str],
) -> list[importlib.metadata.Distribution]:
    """Return the installed distributions that satisfy the requirements.

    Args:
        requirements: Requirement specifiers.

    Returns:
        The distributions and their transitive dependencies, sorted by name,
        without those in ``BUILD_ONLY``.
    """
    found: dict[str, importlib.metadata.Distribution] = {}
    pending = list(requirements)
    while pending:
        requirement = Requirement(pending.pop())
        name = canonicalize_name(requirement.name)
        marker = requirement.marker
        is_required = marker is None or marker.evaluate({"extra": ""})
        if name in found or name in BUILD_ONLY or not is_required:
            continue
        found[name] = importlib.metadata.distribution(name)
        pending.extend(found[name].requires or ())
    return [found[name] for name in sorted(found)]


def copy_distribution(
    distribution: importlib.metadata.Distribution, stage: pathlib.Path
) -> None:
    """Copy the files of a distribution that are needed at run time.

    Args:
        distribution: Installed distribution.
        stage: Directory to copy into.
    """
    for file in distribution.files or ():
        source = pathlib.Path(distribution.locate_file(file))
        is_ignored = IGNORED_DIRECTORIES.intersection(file.parts)
        is_outside = ".." in file.parts
        if is_ignored or is_outside or source.suffix in SOURCE_SUFFIXES:
            continue
        if source.is_file():
            (stage / file).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(source, stage / file)


def copy_program(stage: pathlib.Path) -> None:
    """Copy the package of this project, without its tests.

    Args:
        stage: Directory to copy into.
    """
    shutil.copytree(
        ROOT / "kumquatwalk",
        stage / "kumquatwalk",
        ignore=shutil.ignore_patterns("__pycache__", "tests"),
    )


def replace_launcher(archive: pathlib.Path, result: pathlib.Path) -> None:
    """Copy the archive with this project's launcher as its ``__main__.py``.

    Args:
        archive: Archive made by shiv.
        result: Executable file to write.
    """
    with zipfile.ZipFile(archive) as source, result.open("wb") as file:
        file.write(f"#!/usr/bin/env {name_python()}\n".encode())
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as target:
            for info in source.infolist():
                content = source.read(info)
                if info.filename == "__main__.py":
                    content = LAUNCHER.read_bytes()
                target.writestr(info, content)
    result.chmod(0o755)


def name_python() -> str:
    """Return the interpreter that the compiled extension modules need."""
    return f"python{sys.version_info.major}.{sys.version_info.minor}"


def main() -> None:
    """Build the executable at the path given on the command line."""
    result = pathlib.Path(sys.argv[1]).absolute()
    result.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as directory:
        stage = pathlib.Path(directory, "stage")
        archive = pathlib.Path(directory, "archive")
        stage.mkdir()
        copy_program(stage)
        for distribution in collect_distributions(read_dependencies()):
            copy_distribution(distribution, stage)
        options = ["--reproducible", "--site-packages", str(stage)]
        options += ["-e", ENTRY_POINT, "-o", str(archive)]
        run_shiv.main(args=options, standalone_mode=False)
        replace_launcher(archive, result)
    print(f"{result}: {result.stat().st_size} bytes")


if __name__ == "__main__":
    main()
