"""Load balancing: selects the target of a call by its expected cost."""

import dataclasses
import hashlib
import math
import random
from collections.abc import Iterable

from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.routing.slowness import fade_slowness
from kumquatwalk.targets.heartbeat import TargetState

__all__ = [
    "ChoiceContext",
    "TargetView",
    "choose_target",
    "collect_run_times",
    "estimate_cost",
]

# All costs are fractions of the value of an answer.
#
# Cost of each kilobyte transferred between zones, which is the most expensive
# resource: a kilobyte costs 0.017 to 0.038 of the value of an answer, depending
# on the deployment.
COST_PER_KB = 0.025
# Cost of a call, proportional to the fraction of its objective that it takes:
# its caller has that much less time left for what follows.
TIME_COST = 0.15
# The same for a call on an internal route. The run that makes it makes several
# calls in sequence, and all of them share the time of the original request.
TIME_COST_INTERNAL = 0.3
# Fraction of the objective above which answers begin to be late, as run times
# vary by about their mean; and the factor of the cost above it, which grows
# with the power 1.5 of the excess.
LATE_THRESHOLD = 0.35
LATE_COST = 0.8
# Factor on the fraction of a target's recent runs that failed.
FAILURE_COST = 2.0
# Fraction of failed runs that is normal and costs nothing.
FAILURE_SHARE_NORMAL = 0.02
# Cost of a refusal: it takes a round trip, and the request may find no target
# within its few attempts. Counted where targets report their work only.
REFUSAL_COST = 0.3
# Expected waits, as fractions of the objective, from which on a refusal is
# possible and certain. Targets refuse what waits longer than 0.35 of it; the
# expected wait is wrong by about a third.
REFUSAL_POSSIBLE = 0.25
REFUSAL_CERTAIN = 0.45
# Factor on the run time of a target during its cold start.
COLD_START_FACTOR = 2.0
# Age of the last status after which a target is used only as a last resort, in
# seconds: the status interval and a delay.
STATUS_TTL_S = 1.5
# Random variation of the cost, as a fraction, so that nodes with the same view
# do not all select the same target.
COST_JITTER = 0.1
# Number of targets in the zone of the call, and in all, whose costs are
# compared. They are drawn at random: between two status messages, all nodes
# that compared all targets would select the same one (Mitzenmacher, "The Power
# of Two Choices in Randomized Load Balancing", 2001).
CANDIDATES_NEAR = 3
CANDIDATES = 5
# Run time assumed where no target of a service has reported any, in seconds.
DEFAULT_RUN_S = 0.1
_DIGEST_BYTES = 8


@dataclasses.dataclass(slots=True)
class TargetView:
    """Last known state of one target, as seen from this node.

    Attributes:
        node_id: Identifier of the node beside the target.
        availability_zone: Zone of the target.
        service: Service of the target.
        status: Last status that its node reported.
        running: Running calls, as last reported.
        queued: Queued calls, as last reported.
        updated_at: Time of the last status, in seconds.
        work_left_s: Work left there, as last reported, in seconds; see
            ``TargetStatus``.
        slowness: Slowness of its machine, as last reported; see
            ``TargetStatus``. 0 if it is not reported.
        work_at: Time of the report of both, in seconds.
        in_flight: Calls from this node that have no reply yet.
        in_flight_reported: Calls from this node that the last reported load
            already includes.
        is_reachable: Whether the link to its node is usable.
        backoff_until: Time until which it is avoided after a failure, in
            seconds.
        ends_at: Time at which calls must have ended there, as its node is
            stopping, in seconds; infinite while it is not.
    """

    node_id: str
    availability_zone: str
    service: str
    status: TargetStatus = TargetStatus()
    running: int = 0
    queued: int = 0
    updated_at: float = 0.0
    in_flight: int = 0
    in_flight_reported: int = 0
    is_reachable: bool = False
    backoff_until: float = 0.0
    ends_at: float = math.inf
    work_left_s: float = 0.0
    slowness: float = 0.0
    work_at: float = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether the reported state of the target is READY."""
        return self.status.state is TargetState.READY

    @property
    def accepts_calls(self) -> bool:
        """Whether the target is ready and its node is not stopping."""
        return self.is_ready and not self.status.is_stopping

    def update_status(
        self, status: TargetStatus, now: float, sent_at: float | None = None
    ) -> None:
        """Replace the status and the load with newly reported ones.

        Args:
            status: Status reported by the target's node.
            now: Current time, in seconds.
            sent_at: Time at which the node sent it, in seconds; None if it is
                not known, and ``now`` counts instead.
        """
        self.status = status
        self.running = status.running
        self.queued = status.queued
        self.updated_at = now
        sent_at = now if sent_at is None else sent_at
        self.ends_at = sent_at + status.stop_left_s
        self.in_flight_reported = self.in_flight
        self.update_work(status.work_left_s, status.slowness, now)

    def update_work(
        self, work_left_s: float, slowness: float, now: float
    ) -> None:
        """Replace the work left and the slowness with newly reported ones.

        Args:
            work_left_s: See ``TargetStatus``.
            slowness: See ``TargetStatus``.
            now: Current time, in seconds.
        """
        self.work_left_s = work_left_s
        self.slowness = slowness
        self.work_at = now


@dataclasses.dataclass(frozen=True, slots=True)
class ChoiceContext:
    """Properties of the call for which a target is selected.

    Attributes:
        availability_zone: Zone of the calling node.
        route: Name of the route.
        objective_s: Latency objective, within which an answer has its full
            value, in seconds.
        size_kb: Expected size of the call and its reply, in kilobytes.
        excluded: Identifiers of the nodes already tried.
        now: Current time, in seconds.
        deadline: Time by which the call has ended in any case, in seconds.
        is_internal: Whether the route is called by targets only.
        pinned_by: Key of a request whose repeats must all go to the same
            target, as long as it accepts calls; empty for any other.
    """

    availability_zone: str
    route: str
    objective_s: float
    size_kb: float
    excluded: frozenset[str]
    now: float
    deadline: float = math.inf
    is_internal: bool = False
    pinned_by: bytes = b""


def choose_target(
    views: Iterable[TargetView], context: ChoiceContext, rng: random.Random
) -> TargetView | None:
    """Return the target with the lowest expected cost of a few.

    The few are drawn at random, up to ``CANDIDATES_NEAR`` of them in the zone
    of the call if there are as many. Targets with a stale status or in backoff,
    and targets whose nodes are stopping, are selected only when there is no
    other; last of all those whose nodes may end before the call. A call that is
    pinned goes to the target that all callers which know the same targets
    select.

    Args:
        views: Targets of the service.
        context: Properties of the call.
        rng: Random source of the draw and the cost jitter.

    Returns:
        The target, or None when none accepts calls.
    """
    ready = [
        v
        for v in views
        if v.is_reachable and v.node_id not in context.excluded and v.is_ready
    ]
    if not ready:
        return None
    usable = _list_lasting(ready, context)
    if context.pinned_by:
        return max(usable, key=lambda v: _hash_pair(context.pinned_by, v))
    healthy = [v for v in usable if not _is_degraded(v, context.now)]
    candidates = _draw_candidates(healthy or usable, context, rng)
    typical_run_s = _estimate_typical_run_s(candidates, context.route)
    return min(
        candidates,
        key=lambda v: estimate_cost(v, context, typical_run_s)
        * rng.uniform(1.0 - COST_JITTER, 1.0 + COST_JITTER),
    )


def _list_lasting(
    views: list[TargetView], context: ChoiceContext
) -> list[TargetView]:
    """Return the targets whose nodes' stops fit a call best."""
    if not any(v.status.is_stopping or v.ends_at < math.inf for v in views):
        return views
    # A stopping node still serves until it ends, when it is the only one.
    best = max(_rate_stop(v, context) for v in views)
    return [v for v in views if _rate_stop(v, context) == best]


def _rate_stop(view: TargetView, context: ChoiceContext) -> tuple[bool, bool]:
    """Return how well a call fits a stop of the target's node.

    The first part is whether the call ends before the node does in any case.
    A higher rating is better.
    """
    return context.deadline < view.ends_at, not view.status.is_stopping


def _hash_pair(key: bytes, view: TargetView) -> bytes:
    """Return a rendezvous hash (Thaler and Ravishankar, 1996)."""
    return hashlib.blake2b(
        key + view.node_id.encode(), digest_size=_DIGEST_BYTES
    ).digest()


def _draw_candidates(
    views: list[TargetView], context: ChoiceContext, rng: random.Random
) -> list[TargetView]:
    if len(views) <= CANDIDATES:
        return views
    zone = context.availability_zone
    near = [v for v in views if v.availability_zone == zone]
    far = [v for v in views if v.availability_zone != zone]
    near_count = min(len(near), max(CANDIDATES_NEAR, CANDIDATES - len(far)))
    far_count = min(len(far), CANDIDATES - near_count)
    return rng.sample(near, near_count) + rng.sample(far, far_count)


def estimate_cost(
    view: TargetView,
    context: ChoiceContext,
    typical_run_s: float = DEFAULT_RUN_S,
) -> float:
    """Return the expected cost of a call, as a fraction of its value.

    The cost covers run time and queueing, lateness, transfer between zones and
    recent failures of the target.

    Args:
        view: Target that would run the call.
        context: Properties of the call.
        typical_run_s: Run time of the route at other targets, in seconds. It is
            assumed for a target that has reported none: one that has just
            joined must get calls to show how fast it is.
    """
    status = view.status
    run_s = _find_run_s(status, context.route) or typical_run_s
    if status.cold_left_s - (context.now - view.updated_at) > 0:
        run_s *= COLD_START_FACTOR
    limit = max(1, status.limit)
    unreported = max(0, view.in_flight - view.in_flight_reported)
    load = view.running + view.queued + unreported
    if view.slowness:
        slowness = fade_slowness(view.slowness, context.now - view.work_at)
        run_s *= slowness
        wait_s = _estimate_wait_s(view, run_s, slowness, load, limit)
    else:
        wait_s = (
            max(0, load + 1 - limit)
            / limit
            * _estimate_mean_run_s(status, run_s)
        )
    used_fraction = (run_s + wait_s) / max(context.objective_s, 0.001)
    time_cost = TIME_COST_INTERNAL if context.is_internal else TIME_COST
    cost = (
        time_cost * used_fraction
        + LATE_COST * max(0.0, used_fraction - LATE_THRESHOLD) ** 1.5
    )
    if view.availability_zone != context.availability_zone:
        cost += COST_PER_KB * context.size_kb
    if view.slowness and wait_s:
        cost += _estimate_refusal_cost(wait_s / max(context.objective_s, 0.001))
    excess_failures = max(0.0, status.failure_share - FAILURE_SHARE_NORMAL)
    return cost + FAILURE_COST * excess_failures


def _estimate_wait_s(
    view: TargetView, run_s: float, slowness: float, load: int, limit: int
) -> float:
    """Return the expected wait for a slot at a target that reports its work.

    Args:
        view: The target.
        run_s: Expected time of a run there, in seconds.
        slowness: Slowness that is expected now.
        load: Calls there, with those that are not reported yet.
        limit: Concurrency limit of the target.
    """
    excess = load + 1 - limit
    if excess <= 0:
        return 0.0
    reported = view.running + view.queued
    work_s = view.work_left_s * slowness / view.slowness
    work_s += (load - reported) * run_s
    # Without calls the excess is that of a limit of 1, which is free.
    return excess / limit * work_s / max(1, load)


def _estimate_refusal_cost(wait_fraction: float) -> float:
    """Return the expected cost of a refusal for a wait, over the objective."""
    excess = wait_fraction - REFUSAL_POSSIBLE
    probability = excess / (REFUSAL_CERTAIN - REFUSAL_POSSIBLE)
    return REFUSAL_COST * min(1.0, max(0.0, probability))


def collect_run_times(
    views: Iterable[TargetView],
) -> dict[str, dict[str, float]]:
    """Return mean run times in seconds, by route and service.

    Args:
        views: Targets whose reported run times are averaged.
    """
    times: dict[str, dict[str, list[float]]] = {}
    for view in views:
        for route, run_s in view.status.route_times:
            by_service = times.setdefault(route, {})
            by_service.setdefault(view.service, []).append(run_s)
    return {
        route: {s: sum(v) / len(v) for s, v in by_service.items()}
        for route, by_service in times.items()
    }


def _find_run_s(status: TargetStatus, route: str) -> float | None:
    for name, run_s in status.route_times:
        if name == route:
            return run_s
    return None


def _estimate_typical_run_s(views: list[TargetView], route: str) -> float:
    times = [_find_run_s(v.status, route) for v in views]
    known = [t for t in times if t is not None]
    return sum(known) / len(known) if known else DEFAULT_RUN_S


def _estimate_mean_run_s(status: TargetStatus, default_s: float) -> float:
    times = status.route_times
    if not times:
        return default_s
    return sum(run_s for _, run_s in times) / len(times)


def _is_degraded(view: TargetView, now: float) -> bool:
    return now - view.updated_at > STATUS_TTL_S or now < view.backoff_until
