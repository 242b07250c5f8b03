"""Tests of the check of what callers of the platform's interface saw."""

import dataclasses
import unittest

from kumquatwalk.soak.platform_record import Departure
from kumquatwalk.soak.platform_record import Impairment
from kumquatwalk.soak.platform_record import PlannedWork
from kumquatwalk.soak.platform_record import PlatformRecord
from kumquatwalk.soak.platform_records import check_record
from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.scripted_target import Run

PID = 7
STOP = PlannedWork("n1", PID, 100.0, True)
RELOAD = PlannedWork("n1", PID, 100.0, False)
# Cut off in a stop: sent before it, ended 1 s after it.
CUT = Attempt(
    "a", "pipelined", True, "n1", PID, 1, 2, True, 10, 99.0, 99.0, 101.0
)
RUN = Run("a", None, 99.1, False, 100.5)


def change(entry, **fields):
    """Return a changed copy."""
    return dataclasses.replace(entry, **fields)


class CheckTest(unittest.TestCase):

    def check(self, attempt, *runs, works=(STOP,), impairments=(), node="n2"):
        """Return the rules found broken for one attempt."""
        runs = {"a": [(node, run) for run in runs]} if runs else {}
        record = PlatformRecord([attempt], runs, works, impairments)
        return [violation.rule for violation in check_record(record)]

    # Guards against LOST: a request that ran behind another got no answer.
    def test_request_behind_a_closing_answer_that_ran_is_lost(self):
        behind = change(CUT, is_after_close=True)
        self.assertEqual(self.check(behind, RUN), ["lost"])

    def test_complete_answer_of_the_target_is_no_loss(self):
        answered = change(CUT, status=200, has_seal=True, has_body=True)
        self.assertEqual(self.check(answered, RUN), [])

    def test_own_answer_in_place_of_the_targets_is_lost_at_a_stop_only(self):
        failed = change(CUT, status=502)
        self.assertEqual(self.check(failed, RUN), ["lost"])
        self.assertEqual(self.check(failed, RUN, works=(RELOAD,)), [])
        self.assertEqual(self.check(failed, RUN, works=()), [])

    def test_reload_counts_for_requests_sent_until_it_is_applied(self):
        self.assertEqual(self.check(CUT, RUN, works=(RELOAD,)), ["lost"])
        late = change(CUT, began_at=102.1, sent_at=102.1, ended_at=103.0)
        self.assertEqual(self.check(late, RUN, works=(RELOAD,)), [])

    def test_planned_work_counts_for_the_next_process_of_its_node(self):
        later = change(CUT, pid=8)
        self.assertEqual(self.check(later, RUN), ["lost"])
        self.assertEqual(self.check(later, RUN, works=(RELOAD,)), ["lost"])

    def test_run_in_the_last_sixth_beside_a_stop_before(self):
        # As 25-n1-8-69 of the soak: the stop of its own process ended it.
        before = change(STOP, pid=8, at=STOP.at - 0.7)
        for late_s, expected in ((5.4, []), (4.9, ["lost"])):
            sent_at, ended_at = STOP.at + 2.33, STOP.at + late_s
            run = change(RUN, at=sent_at, ended_at=ended_at, is_aborted=True)
            failed = change(
                CUT,
                status=502,
                began_at=sent_at,
                sent_at=sent_at,
                ended_at=ended_at,
            )
            found = self.check(failed, run, works=(before, STOP))
            self.assertEqual(found, expected)

    def test_planned_work_of_another_node_does_not_count(self):
        other = change(CUT, node="n3")
        self.assertEqual(self.check(other, RUN), [])
        self.assertEqual(self.check(other, RUN, works=(RELOAD,)), [])

    def test_loss_after_the_end_of_the_stop_does_not_count(self):
        late = change(CUT, began_at=106.0, sent_at=106.0, ended_at=107.1)
        self.assertEqual(self.check(late, RUN), [])
        self.assertEqual(
            self.check(change(late, ended_at=106.9), RUN), ["lost"]
        )

    def test_limit_of_the_caller_excuses(self):
        self.assertEqual(self.check(change(CUT, ended_at=104.0), RUN), [])
        self.assertEqual(self.check(change(CUT, ended_at=103.9), RUN), ["lost"])
        route = change(CUT, limit_s=0.8, status=504)
        for elapsed_s, found in ((0.7995, []), (0.798, ["lost"])):
            late = change(route, ended_at=route.began_at + elapsed_s)
            stop = change(STOP, at=99.0)
            self.assertEqual(self.check(late, RUN, works=(stop,)), found)

    def test_caller_that_closes_at_a_limit_excuses_what_stands_behind(self):
        first = change(CUT, attempt_id="n1-1-1", began_at=95.0, error="limit")
        behind = change(CUT, attempt_id="n1-1-2", error="limit")
        runs = {a.attempt_id: [("n2", RUN)] for a in (first, behind)}

        def check(*attempts):
            record = PlatformRecord(attempts, runs, (STOP,), ())
            return [violation.name for violation in check_record(record)]

        self.assertEqual(check(first, behind), [])
        self.assertEqual(check(behind), ["n1-1-2"])
        for changes in (
            {"attempt_id": "n1-2-1"},
            {"connection": 2},
            {"began_at": 99.0},
        ):
            self.assertIn("n1-1-2", check(change(first, **changes), behind))
        whole = {"status": 200, "has_seal": True, "has_body": True}
        self.assertEqual(check(change(first, error="", **whole), behind), [])
        cut = change(behind, error="ConnectionResetError")
        self.assertEqual(check(first, cut), ["n1-1-2"])

    def test_target_that_broke_off_excuses_its_last_run_only(self):
        broken = change(RUN, is_broken_off=True)
        self.assertEqual(self.check(CUT, broken), [])
        self.assertEqual(self.check(CUT, broken, RUN), ["lost"])

    def test_work_in_the_last_sixth_excuses_what_was_sent_in_time(self):
        late_run = change(RUN, ended_at=105.0)
        cut = change(CUT, began_at=103.0, sent_at=103.0, ended_at=105.6)
        self.assertEqual(self.check(cut, late_run), [])
        self.assertEqual(self.check(cut, change(RUN, ended_at=104.9)), ["lost"])
        after = change(cut, sent_at=103.1)
        self.assertEqual(self.check(after, late_run), ["lost"])

    def test_impairment_of_a_node_that_took_part_excuses(self):
        for node in ("n1", "n2"):
            impairment = Impairment(node, 95.9, 96.0)
            self.assertEqual(
                self.check(CUT, RUN, impairments=(impairment,)), []
            )
        for impairment in (
            Impairment("n3", 100.0, 101.0),
            Impairment("n1", 95.0, 95.9),
            Impairment("n1", 101.1, 102.0),
        ):
            with self.subTest(impairment):
                self.assertEqual(
                    self.check(CUT, RUN, impairments=(impairment,)), ["lost"]
                )

    def test_request_that_was_read_and_left_is_lost_if_first_in_line(self):
        first = change(CUT, is_behind=False)
        self.assertEqual(self.check(first), ["lost"])
        self.assertEqual(self.check(CUT), [])
        self.assertEqual(self.check(change(first, is_after_close=True)), [])
        self.assertEqual(self.check(change(first, ended_at=99.1)), [])
        self.assertEqual(self.check(change(first, sent_at=None)), [])

    def test_more_than_three_kept_connections_cut_at_any_time(self):
        for count, expected in ((3, []), (4, ["lost_at_any_time"])):
            record = PlatformRecord([CUT] * count, {"a": [("n2", RUN)]}, (), ())
            found = [violation.rule for violation in check_record(record)]
            self.assertEqual(found, expected)

    def test_cuts_at_any_time_count_for_all_nodes_and_habits_together(self):
        cuts = [
            change(CUT, node=node, habit=habit)
            for node in ("n1", "n3")
            for habit in ("fresh", "pipelined")
        ]
        record = PlatformRecord(cuts, {"a": [("n2", RUN)]}, (), ())
        found = [(v.rule, v.name) for v in check_record(record)]
        self.assertEqual(found, [("lost_at_any_time", "n1 n3")])


class PromiseTest(unittest.TestCase):

    def check(self, attempt, *runs):
        """Return the rules broken, in spite of an impairment at the time."""
        runs = {"a": [("n2", run) for run in runs]} if runs else {}
        impairment = Impairment("n1", 98.0, 102.0)
        record = PlatformRecord([attempt], runs, (STOP,), (impairment,))
        return [violation.rule for violation in check_record(record)]

    def test_status_that_promises_no_run(self):
        for status in (408, 421, 429, 503):
            refused = change(CUT, status=status)
            self.assertEqual(self.check(refused, RUN), ["run_though_refused"])
            self.assertEqual(self.check(refused), [])
        self.assertEqual(self.check(change(CUT, status=502), RUN), [])

    def test_unsafe_request_runs_once(self):
        unsafe = change(CUT, is_safe=False)
        self.assertEqual(self.check(unsafe, RUN), [])
        self.assertEqual(self.check(unsafe, RUN, RUN), ["run_twice"])
        self.assertEqual(self.check(CUT, RUN, RUN), [])

    def test_answer_that_looks_whole_is_the_targets(self):
        for fields in (
            {"status": 200, "has_seal": True},
            {"status": 200, "has_body": True},
            {"status": 500, "has_seal": True},
        ):
            with self.subTest(fields):
                found = self.check(change(CUT, **fields), RUN)
                self.assertEqual(found, ["not_the_target's"])
        whole = change(CUT, status=200, has_seal=True, has_body=True)
        self.assertEqual(self.check(whole), ["not_run_but_answered"])

    def test_status_is_the_one_that_the_target_gave(self):
        fields = {"has_seal": True, "has_body": True}
        failed = change(RUN, status=500)
        for status, run in ((200, failed), (504, failed), (500, RUN)):
            changed = change(CUT, status=status, **fields)
            self.assertEqual(self.check(changed, run), ["not_the_target's"])
        whole = change(CUT, status=500, **fields)
        self.assertEqual(self.check(whole, failed), [])

    def test_nothing_follows_the_last_answer(self):
        followed = change(
            CUT, status=200, has_seal=True, has_body=True, is_followed=True
        )
        self.assertEqual(self.check(followed, RUN), ["not_the_last_answer"])


LEFT = Departure("n2", "i-2", 100.0)


class DepartureTest(unittest.TestCase):

    def check(self, at, node="n2", target_id="i-2", impairments=()):
        """Return the rules found broken for a run at a time."""
        attempt = change(
            CUT,
            began_at=at,
            sent_at=at,
            status=200,
            has_seal=True,
            has_body=True,
        )
        run = Run("a", None, at, False, at + 0.1, target_id=target_id)
        runs = {"a": [(node, run)]}
        record = PlatformRecord([attempt], runs, (), impairments, (LEFT,))
        return [violation.rule for violation in check_record(record)]

    # Guards against DRAIN: a target that had left got requests again.
    def test_run_after_the_drain_of_a_departed_target_is_late(self):
        self.assertEqual(self.check(102.1), ["late_run"])
        self.assertEqual(self.check(106.9), ["late_run"])

    def test_runs_in_the_drain_or_at_another_target_are_not_late(self):
        self.assertEqual(self.check(102.0), [])
        self.assertEqual(self.check(103.0, target_id="i-3"), [])

    def test_nodes_that_were_impaired_shortly_before_do_not_count(self):
        for node in ("n1", "n2"):
            impaired = (Impairment(node, 100.5, 100.6),)
            self.assertEqual(self.check(103.5, impairments=impaired), [])
            self.assertEqual(
                self.check(103.7, impairments=impaired), ["late_run"]
            )
        other = (Impairment("n3", 100.5, 100.6),)
        self.assertEqual(self.check(103.5, impairments=other), ["late_run"])


if __name__ == "__main__":
    unittest.main()
