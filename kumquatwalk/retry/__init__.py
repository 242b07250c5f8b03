"""Retries of calls, bounded over the whole chain of a request."""

from kumquatwalk.retry.budget import RetryBudget
from kumquatwalk.retry.decision import AttemptResult
from kumquatwalk.retry.decision import RetryDecision
from kumquatwalk.retry.decision import RetryLimits
from kumquatwalk.retry.decision import decide_retry
from kumquatwalk.retry.share import CallTokens
from kumquatwalk.retry.tokens import TokenPool

__all__ = [
    "AttemptResult",
    "CallTokens",
    "RetryBudget",
    "RetryDecision",
    "RetryLimits",
    "TokenPool",
    "decide_retry",
]
