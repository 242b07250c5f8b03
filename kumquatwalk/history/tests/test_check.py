"""Tests of the invariant checks on histories that violate them."""

import unittest

from kumquatwalk.history import CallCompleted
from kumquatwalk.history import CallSent
from kumquatwalk.history import History
from kumquatwalk.history import RunRecorded
from kumquatwalk.history import TargetShutdown
from kumquatwalk.history import check_responses_valid
from kumquatwalk.history import check_at_most_once
from kumquatwalk.history import check_attempts_bounded
from kumquatwalk.history import check_no_runs_after_shutdown
from kumquatwalk.history import check_not_run


def make_history(*events):
    """Return a history with r sent twice, q sent once, and the events."""
    history = History()
    history.add(CallSent("r/1", "r", "pay", 1.0))
    history.add(CallSent("r/2", "r", "pay", 2.0))
    history.add(CallSent("q/1", "q", "pay", 2.0))
    for event in events:
        history.add(event)
    return history


def make_run(request, started_at=1.5, entry="pay"):
    return RunRecorded("t1", entry, request, started_at, "done")


def make_refusal(tag):
    """Return a response with the outcome ``not_run``."""
    return CallCompleted(tag, "not_run", "overloaded", True, 2.1)


class CheckTest(unittest.TestCase):

    def names(self, violations):
        """Return the names in the violations."""
        return [violation.name for violation in violations]

    def test_two_runs_of_one_request_are_found(self):
        history = make_history(make_run("r"), make_run("r"))
        self.assertEqual(
            self.names(check_at_most_once(history, {"pay"})), ["r"]
        )
        self.assertEqual(check_at_most_once(history, {"ship"}), [])

    def test_a_run_for_each_key_passes(self):
        history = make_history(make_run("q"), make_run("q"))
        self.assertEqual(
            self.names(check_at_most_once(history, {"pay"})), ["q"]
        )
        history.add(CallSent("q/2", "q", "pay", 3.0, key="another"))
        self.assertEqual(check_at_most_once(history, {"pay"}), [])

    def test_one_run_passes(self):
        history = make_history(make_run("r"))
        self.assertEqual(check_at_most_once(history, {"pay"}), [])

    def test_run_of_a_request_answered_as_not_run_is_found(self):
        refusals = [make_refusal("r/1"), make_refusal("r/2")]
        before = make_history(make_run("r", 1.01), *refusals)
        after = make_history(*refusals, make_run("r", 9.0, "child"))
        self.assertEqual(self.names(check_not_run(before)), ["r"])
        self.assertEqual(self.names(check_not_run(after)), ["r"])

    def test_run_by_another_sending_passes(self):
        history = make_history(make_refusal("r/2"), make_run("r"))
        self.assertEqual(check_not_run(history), [])

    def test_too_many_attempts_are_found(self):
        history = make_history(*[make_run("q") for _ in range(4)])
        few = check_attempts_bounded(history, {"pay": 2}, {"pay": 1})
        enough = check_attempts_bounded(history, {"pay": 2}, {"pay": 2})
        self.assertEqual(self.names(few), ["q"])
        self.assertEqual(enough, [])

    def test_answer_that_is_not_whole_is_found(self):
        history = make_history(CallCompleted("r/1", "done", "", False, 2.0))
        self.assertEqual(self.names(check_responses_valid(history)), ["r/1"])

    def test_work_long_after_leaving_is_found(self):
        history = make_history(
            TargetShutdown("t1", 3.0), make_run("r", 4.9), make_run("q", 5.1)
        )
        violations = check_no_runs_after_shutdown(history, 2.0)
        self.assertEqual([v.detail for v in violations], ["q ran late"])


if __name__ == "__main__":
    unittest.main()
