"""Decision whether a failed attempt is followed by another one."""

import dataclasses

from kumquatwalk import codes
from kumquatwalk.outcome import Outcome

__all__ = ["AttemptResult", "RetryDecision", "RetryLimits", "decide_retry"]

MINIMUM_REMAINING_S = 0.002
OVERLOAD_ATTEMPTS = 2

_TARGET_CODES = frozenset(
    (
        codes.LINK_FAILED,
        codes.LINK_SILENT,
        codes.SHUTTING_DOWN,
        codes.TARGET_ABSENT,
        codes.TARGET_CRASHED,
        codes.TARGET_LEAVING,
    )
)
_OVERLOAD_CODES = frozenset(
    (
        codes.OVERLOADED,
        codes.QUEUE_FULL,
        codes.TARGET_SHED,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """How one attempt ended.

    Attributes:
        outcome: What became of the attempt.
        code: Code of the refusal or failure.
    """

    outcome: Outcome
    code: str


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """What bounds another attempt.

    Attributes:
        is_idempotent: Whether running the entry again is harmless.
        tokens: Retry tokens available to the call.
        remaining_s: Time left to the request.
        attempts: Attempts made so far.
        is_budget_open: Whether the node's retry budget allows a retry.
        has_other_target: Whether a target not yet tried admits the call.
    """

    is_idempotent: bool
    tokens: int
    remaining_s: float
    attempts: int
    is_budget_open: bool
    has_other_target: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether to try again at another target.

    Attributes:
        is_retry: Whether to try again.
        code: Why not; empty when the call is tried again.
    """

    is_retry: bool
    code: str = ""


RETRY = RetryDecision(True)


def decide_retry(result: AttemptResult, limits: RetryLimits) -> RetryDecision:
    """Decide whether a failed attempt is followed by another one.

    An answer of the target, good or bad, is handed on as it is, so that
    retries at several hops do not multiply.

    Args:
        result: How the attempt ended.
        limits: What bounds another attempt.

    Returns:
        The decision.

    Example:
        >>> lost = AttemptResult(Outcome.UNKNOWN, codes.LINK_SILENT)
        >>> decide_retry(lost, RetryLimits(False, 3, 1.0, 1, True, True))
        RetryDecision(is_retry=False, code='link_silent')
    """
    if not _may_run_again(result, limits):
        return RetryDecision(False, result.code)
    if limits.remaining_s < MINIMUM_REMAINING_S:
        return RetryDecision(False, codes.DEADLINE_EXCEEDED)
    if not limits.has_other_target:
        return RetryDecision(False, result.code)
    if limits.tokens <= 0:
        return RetryDecision(False, codes.TOKENS_SPENT)
    if not limits.is_budget_open:
        return RetryDecision(False, codes.RETRY_BUDGET)
    return RETRY


def _may_run_again(result: AttemptResult, limits: RetryLimits) -> bool:
    if result.outcome is Outcome.UNKNOWN:
        return limits.is_idempotent
    if result.outcome is not Outcome.NOT_RUN:
        return False
    if result.code in _OVERLOAD_CODES:
        return limits.attempts < OVERLOAD_ATTEMPTS
    return result.code in _TARGET_CODES
