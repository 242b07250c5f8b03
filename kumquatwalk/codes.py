"""Error codes of refused and failed calls.

Codes are part of replies to other nodes and to callers and do not change
between releases. The messages that accompany them may change.
"""

__all__ = [
    "ANSWER_SPOILED",
    "API_KEY_INVALID",
    "ATTEMPT_ID_MISSING",
    "CALL_CANCELLED",
    "CAP_UNAVAILABLE",
    "CONFIG_ABSENT",
    "CONTEXT_UNKNOWN",
    "DEADLINE_EXCEEDED",
    "ENTRY_LIMIT",
    "ENTRY_UNKNOWN",
    "KEY_REQUIRED",
    "LINK_FAILED",
    "MEMORY_EXHAUSTED",
    "NODE_STOPPING",
    "OUTCOME_UNKNOWN",
    "OVERLOADED",
    "QUARANTINED",
    "QUEUE_FULL",
    "RATE_LIMIT",
    "SERVICE_MISMATCH",
    "TARGET_ABSENT",
    "TARGET_CRASHED",
    "TARGET_FAILED",
    "TARGET_LEAVING",
    "TARGET_REPLACED",
    "TARGET_SHED",
    "TARGET_UNREACHABLE",
    "TEAM_CAP",
    "FORGED_TICKET",
    "KEY_REUSED",
    "OWNER_UNREACHABLE",
    "REQUEST_MALFORMED",
    "TICKET_EXPIRED",
    "TOO_DEEP",
    "UNPROTECTED",
]

ANSWER_SPOILED = "answer_spoiled"
API_KEY_INVALID = "api_key_invalid"
ATTEMPT_ID_MISSING = "attempt_id_missing"
CALL_CANCELLED = "call_cancelled"
CAP_UNAVAILABLE = "cap_unavailable"
CONFIG_ABSENT = "config_absent"
CONTEXT_UNKNOWN = "context_unknown"
DEADLINE_EXCEEDED = "deadline_exceeded"
ENTRY_LIMIT = "entry_limit"
ENTRY_UNKNOWN = "entry_unknown"
KEY_REQUIRED = "key_required"
LINK_FAILED = "link_failed"
MEMORY_EXHAUSTED = "memory_exhausted"
NODE_STOPPING = "node_stopping"
OUTCOME_UNKNOWN = "outcome_unknown"
OVERLOADED = "overloaded"
QUARANTINED = "quarantined"
QUEUE_FULL = "queue_full"
RATE_LIMIT = "rate_limit"
SERVICE_MISMATCH = "service_mismatch"
TARGET_ABSENT = "target_absent"
TARGET_CRASHED = "target_crashed"
TARGET_FAILED = "target_failed"
TARGET_LEAVING = "target_leaving"
TARGET_REPLACED = "target_replaced"
TARGET_SHED = "target_shed"
TARGET_UNREACHABLE = "target_unreachable"
TEAM_CAP = "team_cap"
FORGED_TICKET = "forged_ticket"
KEY_REUSED = "key_reused"
OWNER_UNREACHABLE = "owner_unreachable"
REQUEST_MALFORMED = "request_malformed"
TICKET_EXPIRED = "ticket_expired"
TOO_DEEP = "too_deep"
UNPROTECTED = "unprotected"
