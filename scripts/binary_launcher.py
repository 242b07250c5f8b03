"""Entry point of the binary: checks the unpack directory and starts.

The binary unpacks itself once, into a directory on a memory-backed file system
that only its user may write to. This file imports the standard library only,
because the libraries are not unpacked yet.
"""

import importlib
import os
import pathlib
import sys

ROOT_VARIABLE = "SHIV_ROOT"
DEFAULT_PARENT = "/tmp"
MEMORY_FILE_SYSTEMS = frozenset(("tmpfs", "ramfs"))
EXIT_CONFIGURATION = 78

_SHIV_VARIABLE_PREFIX = "SHIV_"
_GROUP_OR_OTHER_WRITE_BITS = 0o022


def choose_root() -> pathlib.Path:
    """Return the directory to unpack into, as configured or the default."""
    configured = os.environ.get(ROOT_VARIABLE)
    if configured:
        return pathlib.Path(configured)
    return pathlib.Path(DEFAULT_PARENT, f"kumquatwalk-{os.getuid()}")


def find_file_system(path: pathlib.Path, mounts: str) -> str:
    """Return the type of the file system that holds a path.

    Args:
        path: Absolute path without links.
        mounts: Content of ``/proc/self/mounts``.
    """
    found = ("", "")
    for line in mounts.splitlines():
        _, mount_point, file_system, *_ = line.split(" ")
        mount_point = mount_point.encode().decode("unicode_escape")
        if path.is_relative_to(mount_point) and len(mount_point) >= len(
            found[0]
        ):
            found = (mount_point, file_system)
    return found[1]


def find_problem(root: pathlib.Path, mounts: str) -> str | None:
    """Return why a directory must not be unpacked into; None if it may.

    Args:
        root: Directory to unpack into, which need not exist.
        mounts: Content of ``/proc/self/mounts``.
    """
    file_system = find_file_system(root.resolve(), mounts)
    if file_system not in MEMORY_FILE_SYSTEMS:
        return f"it is on {file_system or 'no file system'}, not in memory"
    if not root.exists():
        return None
    status = root.stat()
    if (
        status.st_uid != os.getuid()
        or status.st_mode & _GROUP_OR_OTHER_WRITE_BITS
    ):
        return "it belongs to another user or others may write to it"
    return None


def prepare_root(root: pathlib.Path) -> str | None:
    """Create the directory to unpack into, if it is suitable.

    Args:
        root: Directory to unpack into.

    Returns:
        Why the directory is not suitable; None if it is ready.
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
    """Unpack into memory and run the program, or exit with code 78."""
    root = choose_root()
    problem = prepare_root(root)
    if problem:
        message = f"error: setting_invalid: {ROOT_VARIABLE} is {str(root)!r}"
        print(f"{message}; allowed: own tmpfs; {problem}", file=sys.stderr)
        sys.exit(EXIT_CONFIGURATION)
    for name in [n for n in os.environ if n.startswith(_SHIV_VARIABLE_PREFIX)]:
        del os.environ[name]
    os.environ[ROOT_VARIABLE] = str(root)
    importlib.import_module("_bootstrap").bootstrap()


if __name__ == "__main__":
    main()
