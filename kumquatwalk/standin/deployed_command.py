"""The command by which the platform starts the daemon."""

import pathlib
import tomllib

__all__ = ["ROOT", "read_deployed_command"]

# Checkout that this module belongs to.
ROOT = pathlib.Path(__file__).resolve().parents[2]


def read_deployed_command(tree: str | pathlib.Path = ROOT) -> list[str]:
    """Return the words of the command in the deploy file, program first.

    Args:
        tree: Checkout whose deploy file is read.
    """
    path = pathlib.Path(tree, "deploy", "system.toml")
    roles = tomllib.loads(path.read_text(encoding="utf-8"))["roles"]
    return roles["node"]["run"].split()
