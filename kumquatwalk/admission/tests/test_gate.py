"""Tests of the gate with threads."""

import threading
import time
import unittest

from kumquatwalk import codes
from kumquatwalk.admission.gate import AdmissionGate
from kumquatwalk.admission.tests import samples

HANG_GUARD_S = 30.0


class AdmissionGateTest(unittest.TestCase):
    """Threads wait for slots; the clock stands still."""

    def setUp(self):
        self.gate = AdmissionGate(0.0, clock=lambda: 0.0)
        self.gate.set_target(samples.make_target(slots=3), 0.0)
        self.lock = threading.Lock()
        self.most = 0
        self.codes = []

    def work(self, call_id):
        """Make one call and record its verdict."""
        call = samples.make_call(call_id, priority=call_id % 1024)
        verdict = self.gate.acquire(call, 0.0)
        with self.lock:
            self.codes.append(verdict.code)
            self.most = max(self.most, self.gate.in_flight)
        if verdict.is_admitted:
            self.gate.release(call_id, samples.DONE, 0.0)

    def start(self, call_ids):
        """Make each call on a thread of its own."""
        threads = [
            threading.Thread(target=self.work, args=(call_id,), daemon=True)
            for call_id in call_ids
        ]
        for thread in threads:
            thread.start()
        return threads

    def join(self, threads):
        for thread in threads:
            thread.join(HANG_GUARD_S)
            self.assertFalse(thread.is_alive())

    def test_each_call_has_one_verdict_and_the_limit_holds(self):
        self.join(self.start(range(200)))
        self.assertEqual(len(self.codes), 200)
        self.assertLessEqual(self.most, 4)
        self.assertEqual((self.gate.in_flight, self.gate.queued), (0, 0))

    def test_closing_wakes_all_that_wait(self):
        held = range(1000, 1003)
        for call_id in held:
            self.gate.acquire(samples.make_call(call_id), 0.0)
        threads = self.start(range(4))
        guard = time.monotonic() + HANG_GUARD_S
        while self.gate.queued < 4:
            self.assertLess(time.monotonic(), guard)
            time.sleep(0.001)
        self.gate.close_to_new(codes.SHUTTING_DOWN)
        self.join(threads)
        self.assertEqual(self.codes, [codes.SHUTTING_DOWN] * 4)
        self.assertEqual(self.gate.level(0.0), -1)
        self.assertEqual(self.gate.in_flight, 3)

    def test_time_read_before_another_thread_does_not_run_backwards(self):
        for call_id in range(3):
            self.gate.acquire(samples.make_call(call_id), 5.0)
        verdicts = []
        thread = threading.Thread(
            target=lambda: verdicts.append(
                self.gate.acquire(samples.make_call(9), 5.0)
            ),
            daemon=True,
        )
        thread.start()
        guard = time.monotonic() + HANG_GUARD_S
        while not self.gate.queued:
            self.assertLess(time.monotonic(), guard)
            time.sleep(0.001)
        self.gate.release(0, samples.DONE, 4.0)
        thread.join(HANG_GUARD_S)
        self.assertEqual(verdicts[0].waited_s, 0.0)
