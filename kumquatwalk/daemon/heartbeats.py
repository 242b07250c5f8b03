"""HTTP handler for heartbeats of the local target."""

from kumquatwalk.daemon.target_side import TargetSide
from kumquatwalk.exception import PlatformFormatError
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level
from kumquatwalk.platform.heartbeat import decode_heartbeat
from kumquatwalk.platform.names import HEARTBEAT_PATH_PREFIX

__all__ = ["HeartbeatHandler"]

_JSON_HEADER = (b"Content-Type", b"application/json")


class HeartbeatHandler:
    """Passes heartbeats and departures of the target to the target side.

    The answer is an acknowledgement, so it is sent only after the change is in
    force. Heartbeats that the target side ignores are acknowledged too, those
    of another service and outdated ones, unless the target is in use and says
    that it leaves.

    Args:
        target_side: Target side of the node.
    """

    def __init__(self, target_side: TargetSide):
        self._target_side = target_side

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request of the target.

        Args:
            request: PUT with a heartbeat, or DELETE to announce a departure.

        Returns:
            200 as an acknowledgement; 400 for a malformed heartbeat, 404 for
            an unknown path, 405 for another method and 409 for an outdated
            heartbeat that says that the target in use leaves.
        """
        path = request.url.decode("latin-1").partition("?")[0]
        if not path.startswith(HEARTBEAT_PATH_PREFIX):
            return HttpResponse(404)
        target_id = path[len(HEARTBEAT_PATH_PREFIX) :]
        if request.method == b"DELETE":
            self._target_side.handle_departure(target_id)
            return HttpResponse(200, (_JSON_HEADER,), b"{}")
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
            return HttpResponse(400, (_JSON_HEADER,), b'{"error":"malformed"}')
        if not self._target_side.handle_heartbeat(heartbeat):
            log_event(
                "heartbeat_outdated",
                Level.WARNING,
                target=target_id,
                incarnation=heartbeat.incarnation,
                sequence=heartbeat.sequence,
            )
            return HttpResponse(409, (_JSON_HEADER,), b'{"error":"outdated"}')
        return HttpResponse(200, (_JSON_HEADER,), b"{}")
