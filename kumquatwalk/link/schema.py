"""Lazily loaded Cap'n Proto schema of the messages between nodes."""

import functools
import pathlib
import types

__all__ = ["load_schema"]


@functools.cache
def load_schema() -> types.ModuleType:
    """Return the loaded schema module."""
    import capnp  # pylint: disable=import-outside-toplevel

    path = pathlib.Path(__file__).with_name("link.capnp")
    return capnp.load(str(path))
