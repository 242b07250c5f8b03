"""Cap'n Proto schema of the messages, and constants of their encoding."""

import functools
import pathlib
import types

from kumquatwalk.targets.heartbeat import TargetState

__all__ = [
    "CS_PER_S",
    "MILLI_PER_UNIT",
    "MS_PER_S",
    "PROTOCOL_VERSION",
    "TWENTIETHS_PER_UNIT",
    "US_PER_S",
    "WIRE_STATES",
    "load_schema",
]

# Protocol version; a handshake with another version is rejected.
PROTOCOL_VERSION = 3
US_PER_S = 1_000_000
MS_PER_S = 1000
CS_PER_S = 100
TWENTIETHS_PER_UNIT = 20
MILLI_PER_UNIT = 1000

# Target states; the index of a state is its number on the wire.
WIRE_STATES = (
    TargetState.UNKNOWN,
    TargetState.READY,
    TargetState.DRAINING,
    TargetState.GONE,
)


@functools.cache
def load_schema() -> types.ModuleType:
    """Load the schema on first use and return its module."""
    import capnp  # pylint: disable=import-outside-toplevel

    return capnp.load(str(pathlib.Path(__file__).with_name("mesh.capnp")))
