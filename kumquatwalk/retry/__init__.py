"""Retry budgets: per request over its call tree, and per service."""

from kumquatwalk.retry.service_budget import RetryAllowance
from kumquatwalk.retry.service_budget import ServiceRetryBudget
from kumquatwalk.retry.call_tokens import CallTokens
from kumquatwalk.retry.tokens import TokenPool

__all__ = ["CallTokens", "RetryAllowance", "ServiceRetryBudget", "TokenPool"]
