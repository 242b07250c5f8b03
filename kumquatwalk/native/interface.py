"""Native implementation of the daemon's ``ExternalInterface``."""

from kumquatwalk.catalogue.store import CATALOGUE_KEY
from kumquatwalk.config.fleet_config import CallerLimits
from kumquatwalk.config.fleet_config import FleetConfig
from kumquatwalk.http1.headers import remove_hop_by_hop
from kumquatwalk.http1.message import Header
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.response_match import ResponseMatch
from kumquatwalk.mesh.message import Call
from kumquatwalk.native import names
from kumquatwalk.native.fleet_config import decode_fleet_config
from kumquatwalk.targets.response import ResponseCheck

__all__ = ["NativeInterface"]

_MS = 1000
_STATUS_NOT_RUN = 503


class NativeInterface:
    """Formats of the native interface; see ``ExternalInterface``.

    Args:
        limits: Limits on what callers may send.
    """

    config_prefix = CATALOGUE_KEY
    config_key = CATALOGUE_KEY

    def __init__(self, limits: CallerLimits):
        self._limits = limits

    def decode_config(self, document: bytes) -> FleetConfig:
        """Decode a catalogue into the fleet configuration."""
        return decode_fleet_config(document, self._limits)

    def make_target_headers(
        self, call: Call, target_id: str, run_id: str, remaining_s: float
    ) -> tuple[Header, ...]:
        """Return the headers of a call to a target.

        Args:
            call: The call.
            target_id: Ignored.
            run_id: Identifier of the run, which nested calls send back.
            remaining_s: Time left until the deadline, in seconds.
        """
        del target_id  # Targets of this interface have no identifier.
        remaining_ms = max(1, int(remaining_s * _MS))
        return call.headers + (
            (b"Kumquat-Context", run_id.encode("ascii")),
            (b"Kumquat-Request-Id", call.attempt_id),
            (b"Kumquat-Timeout-Ms", b"%d" % remaining_ms),
        )

    def decode_response(
        self, response: HttpResponse, attempt_id: bytes
    ) -> ResponseCheck:
        """Classify the answer of a target by its status and headers."""
        del attempt_id  # Answers are not signed and do not echo it.
        is_unavailable = response.status == _STATUS_NOT_RUN
        has_not_run_header = (
            response.find_header(names.HEADER_NOT_RUN) is not None
        )
        return ResponseCheck(
            match=ResponseMatch.OWN,
            is_complete=True,
            was_not_run=is_unavailable and has_not_run_header,
            is_replaced=False,
        )

    def is_health_answer(self, response: HttpResponse) -> bool:
        """Return that none does: targets have no health check."""
        del response
        return False

    def list_response_headers(
        self, response: HttpResponse, attempt_id: bytes
    ) -> tuple[Header, ...]:
        """Return the end-to-end headers of an answer.

        None of them echoes the identifier of the attempt.
        """
        del attempt_id
        return remove_hop_by_hop(response.headers)
