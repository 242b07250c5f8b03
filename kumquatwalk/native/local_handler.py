"""HTTP handler of the local listener, for the target and for operators."""

import json

from kumquatwalk.daemon.status import StatusHandler
from kumquatwalk.exception import RequestError
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.partition import Partition
from kumquatwalk.native import names
from kumquatwalk.native.announcements import AnnouncementHandler
from kumquatwalk.native.caller_response import encode_error
from kumquatwalk.native.caller_response import encode_json
from kumquatwalk.native.caller_response import encode_reply
from kumquatwalk.native.nested_calls import NestedCalls
from kumquatwalk.outcome import Outcome

__all__ = ["LocalHandler"]


class LocalHandler:
    """Handles calls and announcements of the target and operators' requests.

    Args:
        nested_calls: Serves the nested calls of runs in progress.
        announcements: Handles the announcements of the target.
        status: Serves the status and the metrics of the node.
        partition: Simulated network partition; None if fault injection is
            disabled.
    """

    def __init__(
        self,
        nested_calls: NestedCalls,
        announcements: AnnouncementHandler,
        status: StatusHandler,
        partition: Partition | None,
    ):
        self._nested_calls = nested_calls
        self._announcements = announcements
        self._status = status
        self._partition = partition

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request.

        Paths under ``names.OWN_PREFIX`` are the node's; all others are calls
        of a run.
        """
        path = request.url.decode("latin-1").partition("?")[0]
        if not path.startswith(names.OWN_PREFIX):
            return encode_reply(await self._nested_calls.serve(request))
        if request.method != b"PUT":
            return await self._status.handle(request)
        if path == names.PATH_TARGET:
            return self._handle_announcement(request)
        if path == names.PATH_FAULTS:
            return self._set_faults(request)
        return _make_error(404, "path_unknown", "no such path")

    def _handle_announcement(self, request: HttpRequest) -> HttpResponse:
        try:
            self._announcements.handle(request.body)
        except RequestError as error:
            return _make_error(400, error.code, error.message)
        return HttpResponse(204)

    def _set_faults(self, request: HttpRequest) -> HttpResponse:
        if self._partition is None:
            return _make_error(
                403, "faults_disabled", "fault injection requires enable-faults"
            )
        try:
            prefixes = tuple(json.loads(request.body)["blocked_hosts"])
            self._partition.set_prefixes(tuple(map(str, prefixes)))
        except (KeyError, TypeError, ValueError) as error:
            return _make_error(400, "request_malformed", str(error))
        log_event("partition_set", hosts=",".join(prefixes))
        return encode_json({"blocked_hosts": prefixes})


def _make_error(status: int, code: str, message: str) -> HttpResponse:
    return encode_error(status, code, Outcome.NOT_RUN, message)
