"""Listener for outside callers."""

import time

from kumquatwalk import codes
from kumquatwalk.gateway.request import HttpRequest
from kumquatwalk.gateway.response import HttpResponse
from kumquatwalk.idempotency.ticket_issuer import TicketIssuer
from kumquatwalk.link.reply import Reply
from kumquatwalk.node.answer import make_answer
from kumquatwalk.node.answer import make_json
from kumquatwalk.node.meters import NodeMeters
from kumquatwalk.node.once import OnceRequests
from kumquatwalk.node.refusal import refuse
from kumquatwalk.node.requests import OutsideRequests
from kumquatwalk.node.requests import read_timeout_s

__all__ = ["CallerListener"]

_TICKET_PATH = b"/kumquatwalk/ticket"
_CONTEXT_HEADER = b"Kumquat-Context"
_MS = 1000


class CallerListener:
    """Answers HTTP requests of outside callers.

    Args:
        requests: Serves requests for idempotent entries.
        once: Serves requests for the others.
        issuer: Issues tickets.
        meters: Metrics of the node.
    """

    def __init__(
        self,
        requests: OutsideRequests,
        once: OnceRequests,
        issuer: TicketIssuer,
        meters: NodeMeters,
    ):
        self._requests = requests
        self._once = once
        self._issuer = issuer
        self._meters = meters

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the answer to one request."""
        if request.path == _TICKET_PATH and request.method == "POST":
            ticket = self._issuer.mint(time.monotonic())
            return make_json({"ticket": ticket})
        return make_answer(self._serve(request))

    def _serve(self, request: HttpRequest) -> Reply:
        now = time.monotonic()
        if _CONTEXT_HEADER in request.headers:
            return refuse(codes.CONTEXT_UNKNOWN)
        entry = self._requests.find_entry(request)
        if entry is None:
            return refuse(codes.ENTRY_UNKNOWN)
        time_s = read_timeout_s(request, entry.limits.time_ms / _MS)
        if time_s is None:
            return refuse("request_malformed")
        serve = self._requests.serve if entry.idempotent else self._once.serve
        reply = serve(request, entry, now + time_s)
        self._meters.note_request(entry.importance, reply)
        return reply
