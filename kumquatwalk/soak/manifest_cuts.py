"""Requests that are cut while a configuration comes into force."""

import collections

from kumquatwalk.history import Violation
from kumquatwalk.soak.platform_records import CONFIG_APPLY_S
from kumquatwalk.soak.platform_record import PlatformRecord
from kumquatwalk.soak.platform_records import find_excuse
from kumquatwalk.soak.platform_records import is_read
from kumquatwalk.soak.platform_records import list_abandoned
from kumquatwalk.standin.attempt import Attempt

__all__ = ["check_manifest_cuts"]

# Time after a change in which requests count as beside it, in seconds.
BESIDE_S = CONFIG_APPLY_S + 1.0
# Cuts count if they are more than this many times as frequent as at other
# times, and only of requests that have used less than this share of their time.
RATIO_MAX = 3
USED_MAX = 0.7


def check_manifest_cuts(record: PlatformRecord) -> list[Violation]:
    """Check that nodes cut no more requests beside a new configuration.

    Processes that were stopped are left out; their cuts are judged by
    themselves. A caller that closes its connection at a limit is no cut.

    Args:
        record: Record after all callers and runs have ended.
    """
    abandoned = list_abandoned(record.attempts)
    stopped = {work.pid for work in record.works if work.is_stop}
    # Requests and cuts, by node, beside a change and at other times.
    requests = collections.Counter()
    cuts = collections.Counter()
    for attempt in record.attempts:
        if attempt.pid not in stopped:
            key = attempt.node, _is_beside(attempt, record)
            requests[key] += 1
            if attempt.attempt_id not in abandoned:
                cuts[key] += _is_cut(attempt, record)
    violations = []
    for node in sorted({node for node, _ in requests}):
        beside, other = (node, True), (node, False)
        if (
            cuts[beside] * requests[other]
            > RATIO_MAX * cuts[other] * requests[beside]
        ):
            detail = (
                f"{cuts[beside]} of {requests[beside]} requests cut beside a"
                f" configuration, {cuts[other]} of {requests[other]} else"
            )
            violations.append(Violation("lost_beside_manifest", node, detail))
    return violations


def _is_beside(attempt: Attempt, record: PlatformRecord) -> bool:
    return any(
        0.0 <= attempt.ended_at - sent_at <= BESIDE_S
        for sent_at in record.manifests
    )


def _is_cut(attempt: Attempt, record: PlatformRecord) -> bool:
    runs = record.runs.get(attempt.attempt_id, ())
    elapsed_s = attempt.ended_at - attempt.began_at
    return (
        not attempt.status
        and (bool(runs) or is_read(attempt))
        and elapsed_s < USED_MAX * attempt.limit_s
        and not find_excuse(attempt, runs, record)
    )
