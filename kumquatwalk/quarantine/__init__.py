"""Quarantine of poison requests, which crash the targets that run them.

A request is identified by a fingerprint of its entry and content, independent
of the idempotency key that its caller sends. When a target crashes, all calls
in progress there become suspects. Each target runs at most one suspect at a
time, so that its next crash can be attributed to one request, and all callers
send the repeats of a suspect to the same target. A suspect that a target
answers is cleared on all nodes; one that crashes a target again is refused on
all nodes.
"""

from kumquatwalk.quarantine.content import RequestContent
from kumquatwalk.quarantine.crash_mark import decode_marks
from kumquatwalk.quarantine.crash_mark import encode_mark
from kumquatwalk.quarantine.crash_report import CrashReport
from kumquatwalk.quarantine.crash_report import ReportedCall
from kumquatwalk.quarantine.crash_report import SoundReport
from kumquatwalk.quarantine.crash_report import decode_report
from kumquatwalk.quarantine.crash_report import encode_report
from kumquatwalk.quarantine.crash_table import CrashTable
from kumquatwalk.quarantine.crash_table import CrashStatus
from kumquatwalk.quarantine.crash_tracker import CrashTracker
from kumquatwalk.quarantine.fingerprint import abbreviate
from kumquatwalk.quarantine.fingerprint import make_fingerprint
from kumquatwalk.quarantine.suspect_rule import RunningCall
from kumquatwalk.quarantine.suspect_rule import SuspectCall
from kumquatwalk.quarantine.suspect_rule import make_crash_reports
from kumquatwalk.quarantine.suspect_rule import select_suspects

__all__ = [
    "CrashReport",
    "CrashTable",
    "CrashStatus",
    "CrashTracker",
    "ReportedCall",
    "RequestContent",
    "RunningCall",
    "SoundReport",
    "SuspectCall",
    "abbreviate",
    "decode_marks",
    "decode_report",
    "encode_mark",
    "encode_report",
    "make_crash_reports",
    "make_fingerprint",
    "select_suspects",
]
