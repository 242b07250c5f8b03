"""First code that the binary runs: check where it unpacks, then start.

The binary unpacks itself once, into memory-backed space that belongs to its
user. This file uses the standard library only, since nothing is unpacked yet.
"""

import importlib
import os
import pathlib
import sys

ROOT_VARIABLE = "SHIV_ROOT"
DEFAULT_PARENT = "/tmp"
MEMORY_FILE_SYSTEMS = frozenset(("tmpfs", "ramfs"))
EXIT_CONFIGURATION = 78

_UNPACKER_PREFIX = "SHIV_"
_OTHERS_MAY_WRITE = 0o022


def choose_root() -> pathlib.Path:
    """Return the directory to unpack into."""
    chosen = os.environ.get(ROOT_VARIABLE)
    if chosen:
        return pathlib.Path(chosen)
    return pathlib.Path(DEFAULT_PARENT, f"kumquatwalk-{os.getuid()}")


def find_file_system(path: pathlib.Path, mounts: str) -> str:
    """Return the type of the file system that holds a path.

    Args:
        path: Absolute path without links.
        mounts: Content of ``/proc/self/mounts``.
    """
    found = ("", "")
    for line in mounts.splitlines():
        _, point, file_system, *_ = line.split(" ")
        point = point.encode().decode("unicode_escape")
        if path.is_relative_to(point) and len(point) >= len(found[0]):
            found = (point, file_system)
    return found[1]


def find_problem(root: pathlib.Path, mounts: str) -> str | None:
    """Return why a directory is unfit to unpack into; None when it is fit.

    Args:
        root: Directory, which need not exist.
        mounts: Content of ``/proc/self/mounts``.
    """
    file_system = find_file_system(root.resolve(), mounts)
    if file_system not in MEMORY_FILE_SYSTEMS:
        return f"it is on {file_system or 'no file system'}, not in memory"
    if not root.exists():
        return None
    status = root.stat()
    if status.st_uid != os.getuid() or status.st_mode & _OTHERS_MAY_WRITE:
        return "it belongs to another user or others may write to it"
    return None


def prepare_root(root: pathlib.Path) -> str | None:
    """Make the directory unless it is unfit; return why it is unfit.

    Args:
        root: Directory to unpack into.
    """
    try:
        mounts = pathlib.Path("/proc/self/mounts").read_text(encoding="utf-8")
        problem = find_problem(root, mounts)
        if problem is None:
            root.mkdir(mode=0o700, exist_ok=True)
            problem = find_problem(root, mounts)
        return problem
    except OSError as error:
        return str(error)


def main() -> None:
    """Unpack into memory-backed space and run the program."""
    root = choose_root()
    problem = prepare_root(root)
    if problem:
        message = f"error: setting_invalid: {ROOT_VARIABLE} is {str(root)!r}"
        print(f"{message}; allowed: own tmpfs; {problem}", file=sys.stderr)
        sys.exit(EXIT_CONFIGURATION)
    for name in [n for n in os.environ if n.startswith(_UNPACKER_PREFIX)]:
        del os.environ[name]
    os.environ[ROOT_VARIABLE] = str(root)
    importlib.import_module("_bootstrap").bootstrap()


if __name__ == "__main__":
    main()
