"""Metrics of a daemon's request path."""

from kumquatwalk.http1.connection_account import CloseReason
from kumquatwalk.http1.unanswered import End
from kumquatwalk.http1.unanswered import Stage
from kumquatwalk.mesh.message import Reply
from kumquatwalk.metrics.busiest_labels import BusiestCounters
from kumquatwalk.metrics.counter import Counter
from kumquatwalk.metrics.label import Label
from kumquatwalk.metrics.registry import MetricsRegistry
from kumquatwalk.outcome import Outcome

__all__ = ["DaemonMetrics"]


class DaemonMetrics:
    """Counters and latency histograms of requests and calls.

    Args:
        registry: Registry that exports them.
    """

    def __init__(self, registry: MetricsRegistry):
        self._registry = registry
        self._request_latency = self._make_stage_histogram(
            "request", "Whole request."
        )
        self._queue_time = self._make_stage_histogram(
            "queue", "Wait for the target."
        )
        self._run_time = self._make_stage_histogram(
            "target", "Run at the target."
        )
        self._retries = registry.counter(
            "kumquatwalk_repeats_total",
            help_text="Requests sent again after they reached a target.",
        )
        self._denied_retries = registry.counter(
            "kumquatwalk_repeats_denied_total",
            help_text="Retries that a budget did not allow.",
        )
        self._requests: dict[tuple[str, str, str], Counter] = {}
        self._team_requests = BusiestCounters(
            registry,
            "kumquatwalk_team_requests_total",
            "team",
            "Requests from this VM by team, by what became of them.",
        )
        self._team_calls = BusiestCounters(
            registry,
            "kumquatwalk_team_calls_total",
            "team",
            "Calls by team that ran at the target or that its queue refused.",
        )
        self._unanswered: dict[tuple[Stage, End], Counter] = {}
        self._closed = {
            reason: registry.counter(
                "kumquatwalk_connections_closed_total",
                Label("reason", reason.value),
                help_text="Clients' connections closed, by what ran short.",
            )
            for reason in CloseReason
        }
        self._target_calls: dict[tuple[str, str], Counter] = {}

    def record_request(
        self, route: str, reply: Reply, elapsed_s: float, team: str = ""
    ) -> None:
        """Count a request from this VM and record its latency.

        Args:
            route: Name of its route.
            reply: Reply to it, which gives the outcome and code.
            elapsed_s: Time from its arrival to the reply, in seconds.
            team: Name of its team; empty if it has none.
        """
        outcome = reply.outcome.name.lower()
        key = (route, outcome, reply.code)
        counter = self._requests.get(key)
        if counter is None:
            counter = self._registry.counter(
                "kumquatwalk_requests_total",
                Label("route", route),
                Label("outcome", outcome),
                Label("code", reply.code),
                help_text="Requests from this VM, by what became of them.",
            )
            self._requests[key] = counter
        counter.increment()
        self._request_latency.record(elapsed_s)
        if team:
            self._team_requests.increment(team, Label("outcome", outcome))

    def record_team_call(self, team: str, outcome: Outcome) -> None:
        """Count a call of a team that has run or that the queue has refused.

        Args:
            team: Name of the team; empty if the call has none, then nothing is
                counted.
            outcome: What became of the call.
        """
        if team:
            label = Label("outcome", outcome.name.lower())
            self._team_calls.increment(team, label)

    def record_unanswered(self, stage: Stage, end: End) -> None:
        """Count a request that ended without a complete answer.

        Args:
            stage: How far the request had come.
            end: What ended it.
        """
        counter = self._unanswered.get((stage, end))
        if counter is None:
            counter = self._registry.counter(
                "kumquatwalk_requests_unanswered_total",
                Label("stage", stage.value),
                Label("end", end.value),
                help_text="Requests that ended without a complete answer.",
            )
            self._unanswered[stage, end] = counter
        counter.increment()

    def record_closed(self, reason: CloseReason) -> None:
        """Count a client's connection that was closed for a shortage.

        Args:
            reason: What ran short.
        """
        self._closed[reason].increment()

    def record_retry(self) -> None:
        """Count a retry of a request that had reached a target."""
        self._retries.increment()

    def record_retry_denied(self) -> None:
        """Count a retry that a retry budget did not allow."""
        self._denied_retries.increment()

    def record_queue_time(self, elapsed_s: float) -> None:
        """Record the time that a call was queued for the target.

        Args:
            elapsed_s: Time in the queue, in seconds.
        """
        self._queue_time.record(elapsed_s)

    def record_run(self, reply: Reply, elapsed_s: float) -> None:
        """Count an admitted call and record the duration of its run.

        Args:
            reply: Reply to it, which gives the outcome and code.
            elapsed_s: Duration of the run, in seconds.
        """
        self._run_time.record(elapsed_s)
        self._count_call(reply)

    def record_refusal(self, reply: Reply) -> None:
        """Count a refused call.

        Args:
            reply: The refusal, which gives the outcome and code.
        """
        self._count_call(reply)

    def _count_call(self, reply: Reply) -> None:
        key = (reply.outcome.name.lower(), reply.code)
        counter = self._target_calls.get(key)
        if counter is None:
            counter = self._registry.counter(
                "kumquatwalk_target_calls_total",
                Label("outcome", key[0]),
                Label("code", key[1]),
                help_text="Calls for the target beside this node.",
            )
            self._target_calls[key] = counter
        counter.increment()

    def _make_stage_histogram(self, stage: str, help_text: str):
        return self._registry.histogram(
            "kumquatwalk_stage_seconds",
            Label("stage", stage),
            help_text=f"Time in a stage of a request. {help_text}",
        )
