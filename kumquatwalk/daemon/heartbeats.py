"""Listener for the heartbeats of the target beside the node."""

from kumquatwalk.daemon.target_side import TargetSide
from kumquatwalk.exception import PlatformFormatError
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level
from kumquatwalk.platform.heartbeat import decode_heartbeat
from kumquatwalk.platform.names import HEARTBEAT_PATH_PREFIX

__all__ = ["HeartbeatHandler"]

_JSON = (b"Content-Type", b"application/json")


class HeartbeatHandler:
    """Passes heartbeats and departures on to the target side.

    The answer acknowledges them, so it is given only once they are in force.

    Args:
        target_side: Target side of the node.
    """

    def __init__(self, target_side: TargetSide):
        self._target_side = target_side

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve one call of the target.

        Args:
            request: The call.

        Returns:
            The acknowledgement, or why there is none.
        """
        path = request.url.decode("latin-1").partition("?")[0]
        if not path.startswith(HEARTBEAT_PATH_PREFIX):
            return HttpResponse(404)
        target_id = path[len(HEARTBEAT_PATH_PREFIX) :]
        if request.method == b"DELETE":
            self._target_side.take_departure(target_id)
            return HttpResponse(200, (_JSON,), b"{}")
        if request.method != b"PUT":
            return HttpResponse(405)
        try:
            heartbeat = decode_heartbeat(target_id, request.body)
        except PlatformFormatError as error:
            log_event(
                "heartbeat_rejected",
                Level.WARNING,
                target=target_id,
                error=error.message,
            )
            return HttpResponse(400, (_JSON,), b'{"error":"malformed"}')
        self._target_side.take_heartbeat(heartbeat)
        return HttpResponse(200, (_JSON,), b"{}")
