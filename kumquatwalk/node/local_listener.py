"""Listener for the target on this VM and for operators."""

import json
import time

from kumquatwalk.exception import RequestError
from kumquatwalk.gateway.request import HttpRequest
from kumquatwalk.gateway.response import HttpResponse
from kumquatwalk.link.partition import Partition
from kumquatwalk.logs import log_event
from kumquatwalk.metrics.registry import MetricsRegistry
from kumquatwalk.metrics.text import render_text
from kumquatwalk.node.answer import make_answer
from kumquatwalk.node.answer import make_error
from kumquatwalk.node.answer import make_json
from kumquatwalk.node.run_calls import RunCalls
from kumquatwalk.node.status import NodeStatus
from kumquatwalk.node.target_watch import TargetWatch
from kumquatwalk.outcome import Outcome

__all__ = ["LocalListener"]

_OWN_PREFIX = b"/kumquatwalk/"


class LocalListener:
    """Answers the target's calls, its announcements and operators' queries.

    Args:
        run_calls: Serves the calls of runs in progress.
        target_watch: Takes the target's announcements.
        status: Describes the node.
        registry: Metrics of the node.
        partition: Fault injection; None when it is not enabled.
    """

    def __init__(
        self,
        run_calls: RunCalls,
        target_watch: TargetWatch,
        status: NodeStatus,
        registry: MetricsRegistry,
        partition: Partition | None,
    ):
        self._run_calls = run_calls
        self._target_watch = target_watch
        self._registry = registry
        self._partition = partition
        self._routes = {
            ("GET", b"/kumquatwalk/members"): status.describe_members,
            ("GET", b"/kumquatwalk/status"): status.describe_node,
            ("GET", b"/kumquatwalk/metrics"): self._show_metrics,
            ("PUT", b"/kumquatwalk/target"): self._take_announcement,
            ("PUT", b"/kumquatwalk/faults"): self._set_faults,
        }

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the answer to one request."""
        if not request.path.startswith(_OWN_PREFIX):
            return make_answer(self._run_calls.serve(request))
        route = self._routes.get((request.method, request.path))
        if route is None:
            return _refuse(404, "path_unknown", "no such path")
        return route(request)

    def _show_metrics(self, _: HttpRequest) -> HttpResponse:
        text = render_text(self._registry)
        lines = b"Content-Type: text/plain; version=0.0.4\r\n"
        return HttpResponse(200, lines, text.encode())

    def _take_announcement(self, request: HttpRequest) -> HttpResponse:
        try:
            self._target_watch.announce(request.body, time.monotonic())
        except RequestError as error:
            return _refuse(400, error.code, error.message)
        return HttpResponse(204)

    def _set_faults(self, request: HttpRequest) -> HttpResponse:
        if self._partition is None:
            return _refuse(403, "faults_disabled", "set enable-faults")
        try:
            prefixes = tuple(json.loads(request.body)["blocked_hosts"])
            self._partition.set_prefixes(tuple(map(str, prefixes)))
        except (KeyError, TypeError, ValueError) as error:
            return _refuse(400, "request_malformed", str(error))
        log_event("partition_set", hosts=",".join(prefixes))
        return make_json({"blocked_hosts": prefixes})


def _refuse(status: int, code: str, message: str) -> HttpResponse:
    return make_error(status, code, Outcome.NOT_RUN, message)
