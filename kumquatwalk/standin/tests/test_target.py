"""Tests of the simulated target and caller."""

import contextlib
import json
import threading
import unittest

import urllib3

from kumquatwalk.exception import RequestError
from kumquatwalk.standin.caller import StandinCaller
from kumquatwalk.standin.caller import is_valid_answer
from kumquatwalk.standin.target import StandinTarget
from kumquatwalk.standin.target_faults import TargetFaults
from kumquatwalk.standin.target_faults import parse_faults
from kumquatwalk.standin.target_settings import TargetSettings

HOST = "127.0.0.1"
HANG_GUARD_S = 60.0


@contextlib.contextmanager
def run_target(**settings):
    """Yield a running target and a caller connected to it."""
    plan = {"host": HOST, "port": 0, "service": "pay", "node_host": ""}
    plan |= {"node_port": 0, "slots": 2, "connections": 10, "service_ms": 1}
    target = StandinTarget(TargetSettings(**plan | settings))
    target.start()
    caller = StandinCaller(HOST, target.port, timeout_s=HANG_GUARD_S)
    try:
        yield target, caller
    finally:
        caller.close()
        target.close()


class StandinTargetTest(unittest.TestCase):

    def test_answer_belongs_to_its_request(self):
        with run_target() as (_, caller):
            answer = caller.call("pay?size=1000", b"bar 7")
        text = answer.body
        self.assertEqual(answer.status, 200)
        self.assertTrue(is_valid_answer(text, "pay?size=1000", b"bar 7"))
        self.assertFalse(is_valid_answer(text, "pay?size=1000", b"bar 8"))
        self.assertFalse(is_valid_answer(text, "pay?size=999", b"bar 7"))
        self.assertFalse(is_valid_answer(text[:-1], "pay?size=1000", b"bar 7"))

    def test_full_target_sheds_and_does_not_log_a_run(self):
        with run_target(slots=1, service_ms=300) as (target, caller):
            answers = []
            threads = [
                threading.Thread(
                    target=lambda n=n: answers.append(caller.call(f"pay/{n}"))
                )
                for n in range(5)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(HANG_GUARD_S)
            runs = json.loads(target.encode_runs())
        done = sum(answer.status == 200 for answer in answers)
        shed = sum(answer.status == 503 for answer in answers)
        self.assertEqual(done + shed, 5)
        self.assertEqual(len(runs), done)

    def test_time_that_is_up_ends_the_run(self):
        with run_target(service_ms=60_000) as (_, caller):
            answer = caller.call("pay", timeout_ms=20)
        self.assertEqual(answer.status, 504)

    def test_failure_marker_fails_the_run(self):
        with run_target() as (target, caller):
            target.set_faults(TargetFaults(fail_marker="bad"))
            self.assertEqual(caller.call("pay", b"a bad one").status, 500)
            self.assertEqual(caller.call("pay", b"a good one").status, 200)

    def test_silent_connections_stay_silent_while_new_ones_work(self):
        with run_target() as (target, _):
            caller = StandinCaller(HOST, target.port, timeout_s=1.0)
            caller.call("pay", b"1")
            target.set_faults(TargetFaults(silent="requests"))
            old = StandinCaller(HOST, target.port, timeout_s=HANG_GUARD_S)
            self.assertEqual(old.call("pay", b"2").status, 200)
            with urllib3.HTTPConnectionPool(HOST, target.port) as pool:
                self.assertEqual(pool.request("GET", "/runs").status, 200)
            self.assertEqual(caller.call("pay", b"3").status, 0)
            tags = [run["tag"] for run in json.loads(target.encode_runs())]
        self.assertEqual(tags, ["1", "2"])

    def test_drained_target_ends_by_itself(self):
        with run_target() as (target, caller):
            caller.call("pay")
            target.drain()
            target.wait_closed()

    def test_malformed_faults_are_refused(self):
        with self.assertRaises(RequestError):
            parse_faults(b'{"no_such_fault": 1}')


if __name__ == "__main__":
    unittest.main()
