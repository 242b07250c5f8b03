"""Decoding of the announcements that the target on this VM sends."""

import itertools
import json

from kumquatwalk.address import Address
from kumquatwalk.daemon.target_side import TargetSide
from kumquatwalk.exception import RequestError
from kumquatwalk.targets.heartbeat import Heartbeat
from kumquatwalk.targets.heartbeat import TargetState

__all__ = ["AnnouncementHandler", "decode_announcement"]

# A target that is warming up takes no calls yet; nothing is known of its state.
_STATES = {
    "warming": TargetState.UNKNOWN,
    "ready": TargetState.READY,
    "draining": TargetState.DRAINING,
}
_COUNT_MAX = 100_000
_PORT_MAX = 65535
_SERVICE_CHARS_MAX = 64
# Exceeds any plausible Unix time in milliseconds.
_INCARNATION_MAX = 1 << 53


class AnnouncementHandler:
    """Decodes announcements and applies them in the order of their arrival.

    Args:
        host: Loopback address of the target.
        zone: Availability zone of the VM.
        target_side: Receives each announcement as a heartbeat.
    """

    def __init__(self, host: str, zone: str, target_side: TargetSide):
        self._host = host
        self._zone = zone
        self._target_side = target_side
        self._sequence_numbers = itertools.count(1)

    def handle(self, body: bytes) -> None:
        """Apply one announcement to the target side.

        Args:
            body: JSON document.

        Raises:
            RequestError: The document is malformed and was not applied (code
                ``announcement_malformed``).
        """
        heartbeat = decode_announcement(
            body, self._host, self._zone, next(self._sequence_numbers)
        )
        self._target_side.handle_heartbeat(heartbeat)


def decode_announcement(
    body: bytes, host: str, zone: str, sequence: int
) -> Heartbeat:
    """Decode an announcement into a heartbeat.

    Args:
        body: JSON document with ``service``, ``slots``, ``connections``,
            ``port`` and ``state``. The optional ``started_at_ms``, the start
            time of the target in Unix milliseconds, distinguishes successive
            incarnations on the same port. Other fields are hints, which are
            ignored.
        host: Loopback address of the target.
        zone: Availability zone of the VM.
        sequence: Sequence number of the announcement.

    Returns:
        The heartbeat, with ``started_at_ms`` as the incarnation.

    Raises:
        RequestError: The document is malformed (code
            ``announcement_malformed``).
    """
    try:
        document = json.loads(body)
        service = _check_service(document["service"])
        slots = _check_integer(document["slots"], _COUNT_MAX)
        _check_integer(document["connections"], _COUNT_MAX)
        port = _check_integer(document["port"], _PORT_MAX)
        state = _STATES[document["state"]]
        started_at_ms = _check_integer(
            document.get("started_at_ms", 1), _INCARNATION_MAX
        )
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise RequestError(
            "announcement_malformed", f"bad or missing field: {error}"
        ) from error
    return Heartbeat(
        target_id=f"{service}@{port}",
        service=service,
        address=Address(host, port),
        availability_zone=zone,
        slots=slots,
        state=state,
        cold_left_s=0.0,
        incarnation=started_at_ms,
        sequence=sequence,
    )


def _check_service(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= _SERVICE_CHARS_MAX:
        raise ValueError("service")
    return value


def _check_integer(value: object, maximum: int) -> int:
    is_int = isinstance(value, int) and not isinstance(value, bool)
    if not is_int or not 1 <= value <= maximum:
        raise ValueError(str(value)[:80])
    return value
