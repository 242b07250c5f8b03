"""Bounds on the catalogue's fields and on the whole document."""

import re

__all__ = [
    "AUTHOR_PATTERN",
    "CHANGE_ID_PATTERN",
    "MAX_CALLS",
    "MAX_DEPTH",
    "MAX_DOCUMENT_BYTES",
    "MAX_ENTRIES",
    "MAX_IN_FLIGHT",
    "MAX_RATE_PER_S",
    "MAX_REASON_CHARACTERS",
    "MAX_RECORDS",
    "MAX_RETRIES",
    "MAX_REVISION",
    "MAX_TIME_MS",
    "MIN_IN_FLIGHT",
    "MIN_RATE_PER_S",
    "MIN_TIME_MS",
    "NAME_PATTERN",
]

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,63}")
AUTHOR_PATTERN = re.compile(
    r"[a-z0-9][a-z0-9.-]{0,63}(/[A-Za-z0-9][A-Za-z0-9.@_-]{0,63})?"
)
CHANGE_ID_PATTERN = re.compile(r"[0-9a-f]{16,64}")
MAX_REASON_CHARACTERS = 300
MAX_CALLS = 32
MAX_DEPTH = 32
MAX_ENTRIES = 2_048
MAX_RECORDS = 4_096
MAX_REVISION = 2**53 - 1
MAX_DOCUMENT_BYTES = 1_000_000
MIN_IN_FLIGHT = 1
MAX_IN_FLIGHT = 1_000_000
MIN_RATE_PER_S = 0.1
MAX_RATE_PER_S = 1_000_000.0
MAX_RETRIES = 100
MIN_TIME_MS = 1
MAX_TIME_MS = 600_000
