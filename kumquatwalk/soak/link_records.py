"""Promises to callers that bind while links between nodes fail."""

from collections.abc import Mapping
from collections.abc import Sequence

from kumquatwalk.history import Violation
from kumquatwalk.soak.platform_records import LOSS_SLACK_S
from kumquatwalk.soak.platform_records import STABLE_S
from kumquatwalk.soak.platform_record import Impairment
from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.attempt import LIMIT_S

__all__ = ["list_unanswered"]

# Time beyond its limit at which a request must be answered, in seconds.
LATE_S = 0.5


def list_unanswered(
    attempts: Sequence[Attempt],
    runs: Mapping[str, Sequence],
    impairments: Sequence[Impairment],
) -> list[Violation]:
    """Return the requests that got no complete answer, or got it late.

    Any answer will do, the node's own too. A request that never ran is owed one
    only if it was read: it was first on its connection, and the connection
    neither ended soon after it nor behind a closing answer.

    Args:
        attempts: Requests of the callers, ended.
        runs: Runs by attempt.
        impairments: Unplanned impairments of the callers' own nodes, those of
            links left out.
    """
    violations = []
    for attempt in attempts:
        if _is_impaired(attempt, impairments):
            continue
        lasted_s = attempt.ended_at - (attempt.sent_at or attempt.began_at)
        has_run = bool(runs.get(attempt.attempt_id))
        if attempt.status:
            is_read_late = attempt.is_behind or attempt.habit == "slow"
            if lasted_s > LIMIT_S + LATE_S and not is_read_late:
                violations.append(_describe("late", attempt, has_run))
        elif attempt.error == "limit" and attempt.habit == "slow":
            # Its caller may not have read the answers in time.
            continue
        elif has_run or _is_left(attempt):
            violations.append(_describe("unanswered", attempt, has_run))
    return violations


def _is_left(attempt: Attempt) -> bool:
    return (
        not attempt.is_behind
        and not attempt.is_after_close
        and attempt.sent_at is not None
        and attempt.ended_at - attempt.sent_at > LOSS_SLACK_S
    )


def _is_impaired(attempt: Attempt, impairments: Sequence[Impairment]) -> bool:
    return any(
        impairment.node == attempt.node
        and impairment.began_at <= attempt.ended_at
        and impairment.ended_at >= attempt.began_at - STABLE_S
        for impairment in impairments
    )


def _describe(rule: str, attempt: Attempt, has_run: bool) -> Violation:
    lasted_s = attempt.ended_at - attempt.began_at
    detail = (
        f"{attempt.habit} at {attempt.node} ({attempt.pid}), behind="
        f"{attempt.is_behind} status={attempt.status} has_run={has_run}"
        f" received={attempt.received} {attempt.error} after {lasted_s:.2f} s"
    )
    return Violation(rule, attempt.attempt_id, detail)
