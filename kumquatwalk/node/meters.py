"""Metrics of a node."""

import functools

from kumquatwalk.admission.gate import AdmissionGate
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.replica import CatalogueReplica
from kumquatwalk.link.reply import Reply
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.service import Membership
from kumquatwalk.metrics.counter import Counter
from kumquatwalk.metrics.label import Label
from kumquatwalk.metrics.registry import MetricsRegistry
from kumquatwalk.node.runs import RunTable

__all__ = ["NodeMeters", "add_state_gauges"]

_US = 1_000_000


class NodeMeters:
    """Counters and histograms that the call path writes.

    Args:
        registry: Where they are registered.
    """

    def __init__(self, registry: MetricsRegistry):
        self._registry = registry
        self._entry_s = self._histogram("entry", "Whole call, entry side.")
        self._link_s = self._histogram("link", "Attempt less gate and target.")
        self._gate_s = self._histogram("gate", "Gate less queue and target.")
        self._queue_s = self._histogram("queue", "Admission queue.")
        self._target_s = self._histogram("target", "Run at the target.")
        self._retries = registry.counter(
            "kumquatwalk_retries_total",
            help_text="Attempts after the first, made by this node.",
        )

    def note_request(self, importance: int, reply: Reply) -> None:
        """Count an outside request by class and outcome."""
        self._count_request(importance, reply.outcome, reply.code).increment()

    def note_call(self, elapsed_s: float) -> None:
        """Record a call made by the entry side."""
        self._entry_s.record(elapsed_s)

    def note_attempt(self, reply: Reply, elapsed_s: float) -> None:
        """Record an attempt over a link that brought a reply."""
        inner_s = (reply.queue_us + reply.run_us) / _US
        self._link_s.record(max(elapsed_s - inner_s, 0.0))

    def note_retry(self) -> None:
        """Count a retry."""
        self._retries.increment()

    def note_gate(self, reply: Reply, elapsed_s: float) -> None:
        """Record a call taken by the gate."""
        queue_s = reply.queue_us / _US
        run_s = reply.run_us / _US
        self._count_gate(reply.outcome, reply.code).increment()
        self._gate_s.record(max(elapsed_s - queue_s - run_s, 0.0))
        self._queue_s.record(queue_s)
        if run_s:
            self._target_s.record(run_s)

    def _histogram(self, stage: str, help_text: str):
        return self._registry.histogram(
            "kumquatwalk_stage_seconds",
            Label("stage", stage),
            help_text="Time in a stage of a call. " + help_text,
        )

    @functools.lru_cache(maxsize=512)  # pylint: disable=method-cache-max-size-none
    def _count_request(self, importance, outcome, code) -> Counter:
        return self._registry.counter(
            "kumquatwalk_requests_total",
            Label("class", Importance(importance).name.lower()),
            Label("outcome", outcome.name.lower()),
            Label("code", code),
            help_text="Outside requests answered by this node.",
        )

    @functools.lru_cache(maxsize=512)  # pylint: disable=method-cache-max-size-none
    def _count_gate(self, outcome, code) -> Counter:
        return self._registry.counter(
            "kumquatwalk_gate_calls_total",
            Label("outcome", outcome.name.lower()),
            Label("code", code),
            help_text="Attempts answered by this node's gate.",
        )


def add_state_gauges(
    registry: MetricsRegistry,
    admission: AdmissionGate,
    runs: RunTable,
    replica: CatalogueReplica,
    membership: Membership,
) -> None:
    """Register gauges that read the state of the parts when asked.

    Args:
        registry: Where they are registered.
        admission: Admission at the target.
        runs: Runs in progress.
        replica: The node's catalogue.
        membership: The membership service.
    """
    readers = {
        "in_flight": (lambda: admission.in_flight, "Calls at the target."),
        "queued": (lambda: admission.queued, "Calls in the queue."),
        "limit": (lambda: admission.limit, "Concurrency limit."),
        "runs": (lambda: len(runs), "Runs that may call on."),
        "catalogue_revision": (
            lambda: replica.current().revision,
            "Catalogue revision in force.",
        ),
        "members_alive": (
            lambda: _count_alive(membership),
            "Members alive or suspect.",
        ),
        "gossip_sent_bytes": (
            lambda: membership.counters().bytes_sent,
            "Bytes sent by the membership service.",
        ),
        "gossip_received_bytes": (
            lambda: membership.counters().bytes_received,
            "Bytes received by the membership service.",
        ),
    }
    for name, (reader, help_text) in readers.items():
        registry.gauge(
            "kumquatwalk_" + name, help_text=help_text, reader=reader
        )


def _count_alive(membership: Membership) -> int:
    members = membership.snapshot().members.values()
    return sum(m.state <= MemberState.SUSPECT for m in members)
