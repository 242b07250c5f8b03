"""Formats that a daemon exchanges with operators, callers and targets."""

from typing import Protocol

from kumquatwalk.config.fleet_config import FleetConfig
from kumquatwalk.http1.message import Header
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.mesh.message import Call
from kumquatwalk.targets.response import ResponseCheck

__all__ = ["ExternalInterface"]


class ExternalInterface(Protocol):
    """Encodes and decodes the formats of the operators and of targets.

    An implementation makes no decisions about calls.

    Attributes:
        config_prefix: Prefix of the operators' keys in the store.
        config_key: Key of the fleet configuration.
    """

    config_prefix: str
    config_key: str

    def decode_config(self, document: bytes) -> FleetConfig:
        """Decode the fleet configuration.

        Args:
            document: Document as stored.

        Raises:
            KumquatwalkError: The document is malformed or invalid.
        """

    def make_target_headers(
        self, call: Call, target_id: str, run_id: str, remaining_s: float
    ) -> tuple[Header, ...]:
        """Return the headers of the request that a call is sent as.

        Args:
            call: Call to be run.
            target_id: Identifier of the target; any other process must refuse
                the call.
            run_id: Identifier of the run, by which nested calls are
                attributed.
            remaining_s: Time until the deadline, in seconds.
        """

    def decode_response(
        self, response: HttpResponse, attempt_id: bytes
    ) -> ResponseCheck:
        """Return what the headers of a target's answer say.

        Args:
            response: The target's answer.
            attempt_id: Attempt identifier of the request.
        """

    def is_health_answer(self, response: HttpResponse) -> bool:
        """Return whether a response surely answers a health check.

        Args:
            response: Response of a target.
        """

    def list_response_headers(
        self, response: HttpResponse, attempt_id: bytes
    ) -> tuple[Header, ...]:
        """Return the headers of an answer that are sent to the caller side.

        Args:
            response: The target's answer.
            attempt_id: Attempt identifier of the request. A header that echoes
                it may be left out, as the caller side knows it.
        """
