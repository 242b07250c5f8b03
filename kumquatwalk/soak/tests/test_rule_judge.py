"""Tests of the second judge of lost requests and departed targets."""

import dataclasses
import unittest

from kumquatwalk.soak import rule_judge
from kumquatwalk.soak.platform_record import Departure
from kumquatwalk.soak.platform_record import Impairment
from kumquatwalk.soak.platform_record import PlannedWork
from kumquatwalk.soak.platform_record import PlatformRecord
from kumquatwalk.soak.platform_record import ReadinessAnswer
from kumquatwalk.soak.process_ends import ProcessEnd
from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.scripted_target import Run

AT = 100.0


def make_attempt(number=1, node="n1", pid=1, **fields):
    """Return an attempt cut 1 s after it was sent, unless told otherwise."""
    fields = {"began_at": AT, "ended_at": AT + 1.0, "error": "ended"} | fields
    fields.setdefault("sent_at", fields["began_at"])
    common = (f"a{number}", "pool", True, node, pid, 1, 0)
    is_behind = fields.pop("is_behind", False)
    return Attempt(*common, is_behind, 10, **fields)


def make_record(*attempts, runs=None, **fields):
    """Return a record; each attempt has a run at n2 unless told otherwise.

    Args:
        *attempts: Attempts of which each ends.
        runs: Fields of the run of each attempt; an empty tuple for no runs.
        **fields: Other fields of the record.
    """
    found = {}
    if runs != ():
        for a in attempts:
            run = {
                "at": a.began_at + 0.1,
                "is_aborted": True,
                "ended_at": a.ended_at,
            } | (runs or {})
            found[a.attempt_id] = [("n2", Run(a.attempt_id, None, **run))]
    first = [
        make_attempt(f"{n}-first", n, 1, began_at=0.0, ended_at=0.1, status=200)
        for n in ("n1", "n2")
    ]
    lists = {"works": (), "impairments": ()} | fields
    return PlatformRecord([*first, *attempts], found, **lists)


def stop(at=AT, node="n1"):
    """Return a SIGTERM."""
    return PlannedWork(node, 1, at, True)


def reload(at=AT):
    """Return a SIGHUP."""
    return PlannedWork("n1", 1, at, False)


class InTouchTest(unittest.TestCase):

    def is_in_touch(self, now, *attempts, **fields):
        """Return whether n1 is in touch at a time of a record."""
        spans = rule_judge.list_disturbances(make_record(*attempts, **fields))
        return rule_judge.is_in_touch(spans, "n1", now)

    def test_calm_node_is_in_touch_only_after_its_start(self):
        self.assertFalse(self.is_in_touch(2.9))
        self.assertTrue(self.is_in_touch(3.1))

    def test_impairment_counts_until_the_stable_time_after_its_end(self):
        impairments = [Impairment("n1", 50.0, 60.0)]
        for now, expected in (
            (49.0, True),
            (55, False),
            (62.9, False),
            (64, 1),
        ):
            found = self.is_in_touch(now, impairments=impairments)
            self.assertEqual(found, expected, now)

    def test_impairment_of_another_node_does_not_count(self):
        found = self.is_in_touch(55.0, impairments=[Impairment("n2", 50, 60)])
        self.assertTrue(found)

    def test_stop_counts_until_the_next_process_is_stable(self):
        later = make_attempt(pid=2, began_at=AT + 8.0, ended_at=AT + 9.0)
        fields = {"works": [stop()]}
        self.assertFalse(self.is_in_touch(AT + 20.0, **fields))
        self.assertFalse(self.is_in_touch(AT + 10.9, later, **fields))
        self.assertTrue(self.is_in_touch(AT + 11.1, later, **fields))

    def test_reload_does_not_count(self):
        self.assertTrue(self.is_in_touch(AT, works=[reload()]))


class ClosesTest(unittest.TestCase):

    def count(self, number=4, runs=None, attempt=None, **fields):
        """Return the violations for a number of equal attempts."""
        attempts = [make_attempt(n, **(attempt or {})) for n in range(number)]
        record = make_record(*attempts, runs=runs, **fields)
        return len(rule_judge.judge_closes(record))

    def test_more_than_three_closes_break_the_rule(self):
        self.assertEqual(self.count(3), 0)
        self.assertEqual(self.count(4), 4)

    def test_answer_that_ends_early_is_none(self):
        self.assertEqual(self.count(attempt={"received": 500}), 4)

    def test_request_that_is_not_passed_on_does_not_count(self):
        self.assertEqual(self.count(runs=()), 0)

    def test_target_that_broke_off_is_not_sound(self):
        self.assertEqual(self.count(runs={"is_broken_off": True}), 0)

    def test_answered_and_given_up_requests_do_not_count(self):
        for fields in ({"status": 502}, {"error": "limit"}, {"error": "left"}):
            self.assertEqual(self.count(attempt=fields), 0, fields)

    def test_node_out_of_touch_does_not_count(self):
        impairments = [Impairment("n1", AT - 2.0, AT - 1.0)]
        self.assertEqual(self.count(impairments=impairments), 0)

    def test_impairment_of_the_targets_node_is_no_excuse(self):
        impairments = [Impairment("n2", AT - 2.0, AT - 1.0)]
        self.assertEqual(self.count(impairments=impairments), 4)


class SignalsTest(unittest.TestCase):

    def count(self, *works, runs=None, impairments=(), **attempt):
        """Return the number of violations of one attempt."""
        record = make_record(
            make_attempt(**attempt),
            runs=runs,
            works=works,
            impairments=impairments,
        )
        return len(rule_judge.judge_signals(record))

    def test_cut_of_a_request_that_was_passed_on(self):
        self.assertEqual(self.count(), 0)
        self.assertEqual(self.count(stop()), 1)
        self.assertEqual(self.count(reload()), 1)

    def test_cut_of_a_request_that_was_not_passed_on_after_the_slack(self):
        self.assertEqual(self.count(stop(), runs=()), 1)
        self.assertEqual(self.count(stop(), runs=(), ended_at=AT + 0.19), 0)

    def test_request_that_was_not_sent_whole(self):
        self.assertEqual(self.count(stop(), runs=(), sent_at=None), 0)

    def test_request_behind_another_counts_only_if_passed_on(self):
        self.assertEqual(self.count(stop(), runs=(), is_behind=True), 0)
        self.assertEqual(self.count(stop(), is_behind=True), 1)

    def test_stop_counts_until_a_second_after_the_grace_period(self):
        self.assertEqual(self.count(stop(AT - 6.9)), 1)
        self.assertEqual(self.count(stop(AT - 7.1)), 0)
        self.assertEqual(self.count(stop(AT + 1.1)), 0)

    def test_stop_of_another_node_does_not_count(self):
        self.assertEqual(self.count(stop(node="n2")), 0)

    def test_reload_counts_for_requests_sent_soon_and_cut_later(self):
        self.assertEqual(self.count(reload(AT - 1.9)), 1)
        self.assertEqual(self.count(reload(AT - 2.1)), 0)
        self.assertEqual(self.count(reload(AT + 0.9)), 1)
        self.assertEqual(self.count(reload(AT + 1.1)), 0)

    def test_impairment_on_the_path_excuses_from_the_stable_time_before(self):
        for node in ("n1", "n2"):
            for end, expected in ((AT - 2.9, 0), (AT - 3.1, 1)):
                impairments = [Impairment(node, 0.0, end)]
                found = self.count(stop(), impairments=impairments)
                self.assertEqual(found, expected, (node, end))

    def test_impairment_elsewhere_excuses_nothing(self):
        impairments = [Impairment("n3", AT, AT + 1.0)]
        self.assertEqual(self.count(stop(), impairments=impairments), 1)

    def test_target_that_broke_off(self):
        self.assertEqual(self.count(stop(), runs={"is_broken_off": True}), 0)

    def test_time_limit_that_was_reached(self):
        self.assertEqual(self.count(stop(), limit_s=1.0), 0)
        self.assertEqual(self.count(stop(), limit_s=1.1), 1)

    def test_run_in_the_last_sixth_of_the_grace_period(self):
        late = {"limit_s": 30.0, "ended_at": AT + 6.0}
        for ended_at, expected in ((AT + 5.1, 0), (None, 0), (AT + 4.9, 1)):
            found = self.count(stop(), runs={"ended_at": ended_at}, **late)
            self.assertEqual(found, expected, ended_at)

    def test_run_in_the_last_sixth_of_a_request_that_was_sent_late(self):
        fields = {"limit_s": 30.0, "ended_at": AT + 6.0}
        early, late = stop(AT - 2.9), stop(AT - 3.1)
        self.assertEqual(self.count(early, **fields), 0)
        self.assertEqual(self.count(late, **fields), 1)

    def test_own_answer_in_place_of_a_run(self):
        answer = {"status": 502, "error": ""}
        self.assertEqual(self.count(stop(), **answer), 1)
        self.assertEqual(self.count(stop(node="n2"), **answer), 1)
        self.assertEqual(self.count(reload(), **answer), 0)
        self.assertEqual(self.count(stop(), has_seal=True, **answer), 0)
        self.assertEqual(self.count(stop(), runs=(), **answer), 0)
        self.assertEqual(self.count(stop(), limit_s=1.0, **answer), 0)

    def test_run_in_the_last_sixth_beside_another_stop(self):
        # As 21-n3-7-61 and 25-n1-8-69 of the soak: the stop of the process that
        # took the request ended it, and another stop was beside it.
        for other in (stop(AT + 4.0, "n2"), stop(AT - 0.7)):
            other = dataclasses.replace(other, pid=7)
            for late_s, expected in ((5.4, 0), (4.9, 1)):
                found = self.count(
                    stop(),
                    other,
                    began_at=AT + 2.33,
                    ended_at=AT + late_s,
                    status=502,
                    error="",
                )
                self.assertEqual(found, expected)

    def test_own_answer_while_the_target_goes_on(self):
        answer = {"status": 502, "error": ""}
        for ended_at, expected in ((AT + 1.5, 1), (AT + 0.5, 0)):
            runs = {"is_aborted": False, "ended_at": ended_at}
            found = self.count(stop(), runs=runs, **answer)
            self.assertEqual(found, expected, ended_at)


class ManifestsTest(unittest.TestCase):

    def count(self, usual=0, calm=0, runs=None, at=AT, **attempt):
        """Return the violations of one cut and others long before.

        The first request of n1 is one more that is answered at other times.

        Args:
            usual: Number of requests that are cut at other times.
            calm: Number of requests that are answered at other times.
            runs: Fields of the runs.
            at: Time of the manifest, in seconds.
            **attempt: Fields of the attempt.
        """
        times = {"began_at": 50.0, "ended_at": 50.5}
        others = [make_attempt(n + 2, **times) for n in range(usual)]
        others += [
            make_attempt(n + 100, status=200, **times) for n in range(calm)
        ]
        record = make_record(
            make_attempt(**attempt), *others, runs=runs, manifests=[at]
        )
        return len(rule_judge.judge_manifests(record))

    def test_cut_until_three_seconds_after_the_manifest(self):
        self.assertEqual(self.count(), 1)
        self.assertEqual(self.count(at=AT - 1.9), 1)
        self.assertEqual(self.count(at=AT - 2.1), 0)
        self.assertEqual(self.count(at=AT + 1.1), 0)

    # Guards against a caller's own close being taken for a cut, and against a
    # cut that is left out with it.
    def test_only_the_callers_own_close_is_no_cut(self):
        for error, expected in (
            ("limit", 0),
            ("left", 0),
            ("ended", 1),
            ("behind", 1),
            ("ConnectionResetError", 1),
            ("", 1),
        ):
            self.assertEqual(self.count(error=error), expected, error)

    def test_cuts_three_times_as_often_as_at_other_times(self):
        self.assertEqual(self.count(usual=10, calm=19), 0)
        self.assertEqual(self.count(usual=10, calm=20), 1)

    def test_request_that_has_used_most_of_its_time(self):
        self.assertEqual(self.count(limit_s=1.4), 0)
        self.assertEqual(self.count(limit_s=1.5), 1)

    def test_target_that_broke_off(self):
        self.assertEqual(self.count(runs={"is_broken_off": True}), 0)


class DeparturesTest(unittest.TestCase):

    def count(self, run_at=AT + 2.1, target_id="t1", **fields):
        """Return the violations of a run after a leave at ``AT``."""
        attempt = make_attempt(began_at=run_at - 0.1, ended_at=run_at + 1.0)
        record = make_record(
            attempt,
            runs={"at": run_at, "target_id": target_id},
            departures=[Departure("n2", "t1", AT)],
            **fields,
        )
        return len(rule_judge.judge_departures(record))

    def test_run_later_than_the_bound(self):
        self.assertEqual(self.count(), 1)
        self.assertEqual(self.count(AT + 1.9), 0)

    def test_other_target_at_the_same_place(self):
        self.assertEqual(self.count(target_id="t2"), 0)

    def test_node_on_the_path_that_is_out_of_touch(self):
        for node, expected in (("n1", 0), ("n2", 0), ("n3", 1)):
            impairments = [Impairment(node, AT + 1.0, AT + 1.5)]
            found = self.count(impairments=impairments)
            self.assertEqual(found, expected, node)

    def test_acknowledgement_binds_also_from_a_node_out_of_touch(self):
        impairments = [Impairment("n2", AT - 1.0, AT)]
        found = self.count(AT + 4.0, impairments=impairments)
        self.assertEqual(found, 1)


class ReadinessTest(unittest.TestCase):

    def answer(self, node, *statuses, pid=1):
        """Return answers of a node, each second until 4 s after ``AT``."""
        first = AT + 4.5 - len(statuses)
        return [
            ReadinessAnswer(node, pid, first + number, status)
            for number, status in enumerate(statuses)
        ]

    def end(self, node, pid, at):
        """Return the end of a process that was stopped."""
        return ProcessEnd(node, pid, 0.0, at, 0, True, False)

    def count(self, statuses, late=2, others=0, **fields):
        """Return the violations of nodes that got SIGTERM at ``AT``.

        Args:
            statuses: Answers of each late node; the last four follow the
                signal.
            late: Number of nodes that answer so.
            others: Number of nodes that answer 503 from the signal on.
            **fields: Other fields of the record.
        """
        late_nodes = [f"l{number}" for number in range(late)]
        other_nodes = [f"o{number}" for number in range(others)]
        answers = []
        for node in late_nodes:
            answers += self.answer(node, *statuses)
        for node in other_nodes:
            answers += self.answer(node, 200, 200, 503, 503, 503, 503)
        works = [stop(node=node) for node in late_nodes + other_nodes]
        record = make_record(works=works, readiness=answers, **fields)
        return len(rule_judge.judge_readiness(record))

    def test_two_nodes_that_still_count_as_ready(self):
        self.assertEqual(self.count([200] * 6), 2)
        self.assertEqual(self.count([200] * 6, late=1), 0)

    def test_more_than_a_quarter_of_those_that_were_ready(self):
        self.assertEqual(self.count([200] * 6, others=5), 2)
        self.assertEqual(self.count([200] * 6, others=6), 0)

    def test_two_questions_in_a_row_without_success_take_a_node_out(self):
        for after, expected in (
            ((503, 503, 503, 503), 0),
            ((200, 200, 503, 503), 0),
            ((200, 200, 503, 0), 0),
            ((503, 503, 503, 200), 2),
            ((503, 503, 200, 503), 2),
            ((503, 503, 200, 0), 2),
        ):
            found = self.count((200, 200, *after))
            self.assertEqual(found, expected, after)

    def test_node_that_was_not_ready_at_the_signal(self):
        self.assertEqual(self.count((503, 503, 200, 200, 200, 200)), 0)
        self.assertEqual(self.count((200, 503, 200, 200, 200, 200)), 2)
        # Neither does it count among those that were.
        record = make_record(
            works=[stop(node=f"n{number}") for number in range(9)],
            readiness=[
                answer
                for number in range(9)
                for answer in self.answer(
                    f"n{number}", *[200 if number < 2 else 503] * 6
                )
            ],
        )
        self.assertEqual(len(rule_judge.judge_readiness(record)), 2)

    def test_process_that_has_ended_or_was_replaced(self):
        for late_s, expected in ((3.9, 0), (4.1, 2)):
            ends = [self.end(f"l{n}", 1, AT + late_s) for n in range(2)]
            self.assertEqual(self.count([200] * 6, ends=ends), expected)
        ends = [self.end(f"l{n}", 2, AT + 1.0) for n in range(2)]
        self.assertEqual(self.count([200] * 6, ends=ends), 2)

    def test_node_out_of_touch(self):
        for end, expected in ((AT - 2.9, 0), (AT - 3.1, 2)):
            impairments = [Impairment("l0", 0.0, end)]
            found = self.count([200] * 6, impairments=impairments)
            self.assertEqual(found, expected, end)

    def test_reload_takes_no_node_out(self):
        record = make_record(
            works=[reload()], readiness=self.answer("n1", *[200] * 6)
        )
        self.assertEqual(rule_judge.judge_readiness(record), [])


class StoreTest(unittest.TestCase):

    # Guards against a loss that an impairment of the store hides.
    def test_impairment_of_the_store_alone_excuses_nothing(self):
        span = [(AT - 10.0, AT + 10.0)]
        for is_safe in (True, False):
            attempts = [make_attempt(number) for number in range(4)]
            for attempt in attempts:
                attempt.is_safe = is_safe
            for judge, fields in (
                (rule_judge.judge_signals, {"works": [stop()]}),
                (rule_judge.judge_signals, {"works": [reload()]}),
                (rule_judge.judge_closes, {}),
                (rule_judge.judge_manifests, {"manifests": [AT]}),
            ):
                record = make_record(
                    *attempts, store_impairments=span, **fields
                )
                self.assertEqual(len(judge(record)), 4, fields)


class RecordTest(unittest.TestCase):

    def test_all_rules_are_judged(self):
        record = make_record(
            *(make_attempt(n) for n in range(4)),
            runs={"target_id": "t1"},
            works=[reload()],
            manifests=[AT],
            departures=[Departure("n2", "t1", AT - 5.0)],
        )
        found = rule_judge.judge_record(record)
        self.assertEqual(len(found), 16)
        self.assertEqual({v.rule for v in found}, {"LOST", "DRAIN"})
