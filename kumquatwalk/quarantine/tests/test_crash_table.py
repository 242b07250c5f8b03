"""Tests of the crash table and of the rules of the quarantine."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.exception import FrameError
from kumquatwalk.quarantine import CrashReport
from kumquatwalk.quarantine import CrashTable
from kumquatwalk.quarantine import CrashStatus
from kumquatwalk.quarantine import ReportedCall
from kumquatwalk.quarantine import RunningCall
from kumquatwalk.quarantine import SoundReport
from kumquatwalk.quarantine import decode_report
from kumquatwalk.quarantine import encode_report
from kumquatwalk.quarantine import make_crash_reports
from kumquatwalk.quarantine import make_fingerprint
from kumquatwalk.quarantine import select_suspects
from kumquatwalk.quarantine.crash_table import QUARANTINE_TTL_S

POISON = make_fingerprint("pay", "POST", b"/pay", b"poison")
OTHERS = tuple(
    make_fingerprint("pay", "POST", b"/pay", b"%d" % n) for n in range(30)
)
PROPERTY_SETTINGS = settings(derandomize=True, deadline=None, max_examples=150)
LEVELS = st.integers(1, 4)
REPORTS = st.one_of(
    st.builds(
        lambda number, level: CrashReport((ReportedCall(number, level),)),
        st.sampled_from(OTHERS[:3]),
        LEVELS,
    ),
    st.builds(
        lambda number, level: SoundReport(ReportedCall(number, level)),
        st.sampled_from(OTHERS[:3]),
        LEVELS,
    ),
)


def make_first_runs(fingerprints):
    """Return runs of requests that are suspects of nothing."""
    return [RunningCall(f, False, False) for f in fingerprints]


def merge(table, report, now):
    """Merge a report into a table."""
    if isinstance(report, CrashReport):
        return table.record(report, now)
    return table.clear(report, now)


class Fleet:
    """Targets that share one table and run at most one suspect at a time."""

    def __init__(self):
        self.table = CrashTable()
        self.sequence = 0

    def crash(self, fingerprints, now):
        """Run requests at one target until it crashes."""
        running = []
        for fingerprint in fingerprints:
            status = self.table.classify(fingerprint, now)
            is_suspect = status is CrashStatus.SUSPECT
            if status is CrashStatus.QUARANTINED:
                continue
            if is_suspect and any(call.is_suspect for call in running):
                continue
            level = self.table.get_level(fingerprint)
            running.append(
                RunningCall(fingerprint, is_suspect, is_suspect, level)
            )
        suspects = select_suspects(running)
        for report in make_crash_reports(suspects):
            report = decode_report(encode_report(report))
            self.table.record(report, now)
            self.table.record(report, now)
        self.sequence += 1
        return running

    def complete(self, fingerprint, now):
        """End a request without a crash."""
        report = self.table.make_sound_report(fingerprint)
        if report is not None:
            self.table.clear(decode_report(encode_report(report)), now)


class CrashTableTest(unittest.TestCase):

    def setUp(self):
        self.fleet = Fleet()
        self.table = self.fleet.table

    @PROPERTY_SETTINGS
    @given(st.lists(st.sets(st.integers(0, 29)), min_size=2, max_size=12))
    def test_only_the_cause_is_quarantined_after_two_crashes(self, batches):
        fleet = Fleet()
        for now, batch in enumerate(batches):
            if fleet.table.classify(POISON, now) is CrashStatus.QUARANTINED:
                break
            fleet.crash([POISON, *(OTHERS[n] for n in batch)], now)
        self.assertEqual(fleet.sequence, 2)
        for other in OTHERS:
            self.assertNotEqual(
                fleet.table.classify(other, 20.0), CrashStatus.QUARANTINED
            )

    def test_simultaneous_crashes_of_many_targets_quarantine_nothing(self):
        suspects = select_suspects(make_first_runs(OTHERS))
        for _ in range(50):
            for report in make_crash_reports(suspects):
                self.table.record(report, 1.0)
        status = self.table.classify(OTHERS[0], 1.0)
        self.assertEqual(status, CrashStatus.SUSPECT)

    # Guards against a good request being refused for ten minutes because all
    # targets that ran it were stopped in one second.
    def test_request_in_progress_at_two_crashes_at_once_stays_a_suspect(self):
        running = RunningCall(OTHERS[0], False, True, level=0)
        for _ in range(2):
            (suspect,) = select_suspects([running])
            self.table.record(CrashReport((suspect,)), 1.0)
        status = self.table.classify(OTHERS[0], 1.0)
        self.assertEqual(status, CrashStatus.SUSPECT)

    def test_lone_suspect_is_not_blamed_beside_an_older_run_of_another(self):
        older = RunningCall(POISON, False, True, level=0)
        lone = RunningCall(OTHERS[0], True, True, level=1)
        suspects = select_suspects([older, lone])
        self.assertEqual(suspects, (ReportedCall(POISON, 1),))

    def test_completed_suspect_is_cleared_even_of_late_reports(self):
        suspects = select_suspects(make_first_runs([POISON]))
        (report,) = make_crash_reports(suspects)
        self.table.record(report, 1.0)
        self.fleet.complete(POISON, 2.0)
        self.table.record(report, 3.0)
        self.assertEqual(self.table.classify(POISON, 3.0), CrashStatus.CLEAR)

    def test_request_that_crashes_again_after_it_was_cleared_is_quarantined(
        self,
    ):
        self.fleet.crash([POISON], 1.0)
        self.fleet.complete(POISON, 2.0)
        for now in (3.0, 4.0):
            self.fleet.crash([POISON], now)
        status = self.table.classify(POISON, 5.0)
        self.assertEqual(status, CrashStatus.QUARANTINED)

    def test_quarantine_expires(self):
        self.fleet.crash([POISON], 1.0)
        self.fleet.crash([POISON], 2.0)
        before = self.table.classify(POISON, 2.0 + QUARANTINE_TTL_S)
        after = self.table.classify(POISON, 2.1 + QUARANTINE_TTL_S)
        self.assertEqual(before, CrashStatus.QUARANTINED)
        self.assertEqual(after, CrashStatus.CLEAR)

    def test_table_is_bounded(self):
        table = CrashTable(max_fingerprints=3)
        suspects = select_suspects(make_first_runs(OTHERS))
        for report in make_crash_reports(suspects):
            self.assertLessEqual(len(encode_report(report)), 200)
            table.record(report, 1.0)
        self.assertEqual(len(table), 3)

    def test_summary_tells_a_new_node_what_is_not_clear(self):
        self.fleet.crash([POISON], 1.0)
        self.fleet.crash([POISON], 2.0)
        self.fleet.crash(OTHERS, 3.0)
        self.fleet.complete(OTHERS[0], 4.0)
        table = CrashTable()
        for report in self.table.summarize(5.0):
            table.record(decode_report(encode_report(report)), 5.0)
        for fingerprint in (POISON, *OTHERS):
            self.assertEqual(
                table.classify(fingerprint, 5.0),
                self.table.classify(fingerprint, 5.0),
            )

    @PROPERTY_SETTINGS
    @given(st.lists(REPORTS, max_size=12), st.randoms(use_true_random=False))
    def test_reports_in_any_order_and_number_give_the_same_table(
        self, reports, rng
    ):
        one, other = CrashTable(), CrashTable()
        for report in reports:
            merge(one, report, 1.0)
        shuffled = reports + reports[: len(reports) // 2]
        rng.shuffle(shuffled)
        for report in shuffled:
            merge(other, report, 1.0)
        for fingerprint in OTHERS[:3]:
            self.assertEqual(
                one.classify(fingerprint, 1.0), other.classify(fingerprint, 1.0)
            )
        for report in reports:
            self.assertFalse(merge(one, report, 1.0))

    @PROPERTY_SETTINGS
    @given(st.binary(max_size=220))
    def test_arbitrary_bytes_are_decoded_or_rejected(self, data):
        try:
            self.assertEqual(encode_report(decode_report(data)), data)
        except FrameError as error:
            self.assertEqual(error.code, "report_malformed")


if __name__ == "__main__":
    unittest.main()
