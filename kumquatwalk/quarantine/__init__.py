"""Quarantine of poison requests, which crash the targets that run them.

A request is identified by a fingerprint of its entry and content, independent
of the idempotency key that its caller sends. When a target crashes, all calls
in progress there become suspects. Each target runs at most one suspect at a
time, so that its next crash can be attributed to one request. A suspect that
ends without a crash is cleared on all nodes; a request that crashed targets
repeatedly is refused on all nodes.
"""

from kumquatwalk.quarantine.crash_mark import decode_marks
from kumquatwalk.quarantine.crash_mark import encode_mark
from kumquatwalk.quarantine.crash_report import ClearReport
from kumquatwalk.quarantine.crash_report import CrashReport
from kumquatwalk.quarantine.crash_report import decode_report
from kumquatwalk.quarantine.crash_report import encode_report
from kumquatwalk.quarantine.crash_table import CrashTable
from kumquatwalk.quarantine.crash_table import CrashStatus
from kumquatwalk.quarantine.crash_tracker import CrashTracker
from kumquatwalk.quarantine.fingerprint import make_fingerprint
from kumquatwalk.quarantine.suspect_rule import RunningCall
from kumquatwalk.quarantine.suspect_rule import SuspectCall
from kumquatwalk.quarantine.suspect_rule import make_crash_reports
from kumquatwalk.quarantine.suspect_rule import select_suspects

__all__ = [
    "ClearReport",
    "CrashReport",
    "CrashTable",
    "CrashStatus",
    "CrashTracker",
    "RunningCall",
    "SuspectCall",
    "decode_marks",
    "decode_report",
    "encode_mark",
    "encode_report",
    "make_crash_reports",
    "make_fingerprint",
    "select_suspects",
]
