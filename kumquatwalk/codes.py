"""Codes that say why a call was refused or failed.

A code travels on replies between nodes and to callers. Codes are stable;
messages beside them are for people.
"""

__all__ = [
    "ADMITTED",
    "CLAIM_UNAVAILABLE",
    "CONTEXT_UNKNOWN",
    "DEADLINE_EXCEEDED",
    "ENTRY_LIMIT",
    "ENTRY_UNKNOWN",
    "KEY_REQUIRED",
    "LINK_FAILED",
    "LINK_SILENT",
    "OUTCOME_UNKNOWN",
    "OVERLOADED",
    "QUARANTINED",
    "QUEUE_FULL",
    "RATE_LIMIT",
    "RETRY_BUDGET",
    "SHUTTING_DOWN",
    "TARGET_ABSENT",
    "TARGET_CRASHED",
    "TARGET_FAILED",
    "TARGET_LEAVING",
    "TARGET_SHED",
    "TOKENS_SPENT",
]

ADMITTED = ""
CLAIM_UNAVAILABLE = "claim_unavailable"
CONTEXT_UNKNOWN = "context_unknown"
DEADLINE_EXCEEDED = "deadline_exceeded"
ENTRY_LIMIT = "entry_limit"
ENTRY_UNKNOWN = "entry_unknown"
KEY_REQUIRED = "key_required"
LINK_FAILED = "link_failed"
LINK_SILENT = "link_silent"
OUTCOME_UNKNOWN = "outcome_unknown"
OVERLOADED = "overloaded"
QUARANTINED = "quarantined"
QUEUE_FULL = "queue_full"
RATE_LIMIT = "rate_limit"
RETRY_BUDGET = "retry_budget"
SHUTTING_DOWN = "shutting_down"
TARGET_ABSENT = "target_absent"
TARGET_CRASHED = "target_crashed"
TARGET_FAILED = "target_failed"
TARGET_LEAVING = "target_leaving"
TARGET_SHED = "target_shed"
TOKENS_SPENT = "tokens_spent"
