"""Decoder of the heartbeats that a target sends to its node."""

import json
from typing import Any

from kumquatwalk.address import Address
from kumquatwalk.exception import PlatformFormatError
from kumquatwalk.platform import fields
from kumquatwalk.platform.settings import decode_address
from kumquatwalk.targets.heartbeat import Heartbeat
from kumquatwalk.targets.heartbeat import TargetState

__all__ = ["decode_heartbeat"]

_STATES = {"ready": TargetState.READY, "draining": TargetState.DRAINING}


def decode_heartbeat(target_id: str, body: bytes) -> Heartbeat:
    """Decode a heartbeat request; unknown fields are ignored.

    Args:
        target_id: Identifier of the target, from the path of the request.
        body: JSON text of the request.

    Returns:
        The heartbeat.

    Raises:
        PlatformFormatError: The body is not valid JSON, a field is missing or
            malformed, the state is unknown or the identifier is empty.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise PlatformFormatError("json_invalid", str(error)[:200]) from error
    table = fields.read_table(value, "heartbeat")
    state = _STATES.get(fields.read_text(table, "state"))
    if state is None:
        raise PlatformFormatError(
            "field_invalid", "state must be ready or draining"
        )
    if not target_id:
        raise PlatformFormatError(
            "field_invalid", "the path has no target identifier"
        )
    # A report without it comes from another writer and names no target.
    fields.read_text(table, "version")
    return Heartbeat(
        target_id=target_id,
        service=fields.read_text(table, "service"),
        address=_read_address(table),
        availability_zone=fields.read_text(table, "zone"),
        slots=fields.read_int(table, "slots"),
        state=state,
        cold_left_s=fields.read_number(table, "coldLeftS"),
        # Start time of the target in Unix milliseconds; 0 if not given.
        incarnation=fields.read_int(table, "born", 0),
        sequence=fields.read_int(table, "sequence"),
    )


def _read_address(table: Any) -> Address:
    return decode_address(fields.read_text(table, "address"), "address")
