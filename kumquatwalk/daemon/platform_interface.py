"""Formats of the operators' platform for the daemon."""

from kumquatwalk.config.fleet_config import FleetConfig
from kumquatwalk.http1.message import Header
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.mesh.message import Call
from kumquatwalk.platform.fleet_config import decode_fleet_config
from kumquatwalk.platform.names import KEY_FLEET_CONFIG
from kumquatwalk.platform.names import PREFIX_OPERATORS
from kumquatwalk.platform.request_headers import make_target_headers
from kumquatwalk.platform.target_response import decode_target_response
from kumquatwalk.platform.target_response import is_health_answer
from kumquatwalk.platform.target_response import list_response_headers
from kumquatwalk.targets.response import ResponseCheck

__all__ = ["PlatformInterface"]


class PlatformInterface:
    """Implementation of ``ExternalInterface`` for the operators' platform."""

    config_prefix = PREFIX_OPERATORS
    config_key = KEY_FLEET_CONFIG

    def decode_config(self, document: bytes) -> FleetConfig:
        """Decode the operators' fleet configuration."""
        return decode_fleet_config(document)

    def make_target_headers(
        self, call: Call, target_id: str, run_id: str, remaining_s: float
    ) -> tuple[Header, ...]:
        """Return the headers of a call; the platform has no run identifiers."""
        del run_id
        return make_target_headers(
            call.headers, call.caller_service, target_id, remaining_s
        )

    def decode_response(
        self, response: HttpResponse, attempt_id: bytes
    ) -> ResponseCheck:
        """Decode what the headers of a target's answer say about it."""
        return decode_target_response(response, attempt_id)

    def is_health_answer(self, response: HttpResponse) -> bool:
        """Return whether a response bears what only health checks return."""
        return is_health_answer(response)

    def list_response_headers(
        self, response: HttpResponse, attempt_id: bytes
    ) -> tuple[Header, ...]:
        """Return an answer's headers without the echoed attempt identifier."""
        return list_response_headers(response.headers, attempt_id)
