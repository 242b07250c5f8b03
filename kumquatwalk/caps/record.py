"""Record in the store that names the allocator of a zone."""

import dataclasses
import json
import math

from kumquatwalk.exception import PlatformFormatError

__all__ = ["CapRecord", "decode_record", "encode_record"]


@dataclasses.dataclass(frozen=True, slots=True)
class CapRecord:
    """Right of one process to lend the tokens of a zone.

    Attributes:
        holder: Node that lends; empty once it has handed the record over.
        incarnation: Incarnation of its process.
        fraction: Part of the zone's share that it may lend, over 0 to 1.
    """

    holder: str
    incarnation: int
    fraction: float


def encode_record(record: CapRecord) -> bytes:
    """Encode a record as JSON.

    Args:
        record: The record.
    """
    document = dataclasses.asdict(record)
    return json.dumps(document, separators=(",", ":")).encode()


def decode_record(value: bytes) -> CapRecord:
    """Decode a record.

    Args:
        value: Bytes from the store.

    Raises:
        PlatformFormatError: The bytes are no valid record.
    """
    try:
        document = json.loads(value)
        record = CapRecord(
            document["holder"],
            document["incarnation"],
            float(document["fraction"]),
        )
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise _make_error(str(error)[:200]) from error
    is_valid = (
        isinstance(record.holder, str)
        and isinstance(record.incarnation, int)
        and math.isfinite(record.fraction)
        and 0.0 < record.fraction <= 1.0
    )
    if not is_valid:
        raise _make_error("a field is out of range")
    return record


def _make_error(message: str) -> PlatformFormatError:
    return PlatformFormatError("cap_record_malformed", message)
