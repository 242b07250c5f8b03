"""Tests of the readiness of nodes as the platform polls it."""

import asyncio
import random
import types
import unittest
from unittest import mock

from kumquatwalk.soak import readiness
from kumquatwalk.soak.readiness import ReadinessPoll


class ReadinessPollTest(unittest.TestCase):

    def setUp(self):
        nodes = [
            types.SimpleNamespace(name=f"{zone}-{number}", zone=zone)
            for zone in ("z1", "z2")
            for number in range(4)
        ]
        self.poll = ReadinessPoll(nodes, random.Random(1))

    def choose_all(self, zone="z1"):
        """Return the nodes that new work of a zone goes to."""
        return {self.poll.choose_node(zone).name for _ in range(200)}

    def miss(self, *names):
        """Miss two polls of some nodes."""
        for name in names:
            self.poll.note_answer(name, 503)
            self.poll.note_answer(name, 0)

    def test_all_nodes_of_the_zone_are_in_at_first(self):
        self.assertEqual(self.choose_all(), {f"z1-{n}" for n in range(4)})

    def test_two_misses_in_a_row_take_a_node_out_until_an_answer(self):
        for status in (503, 200, 0):
            self.poll.note_answer("z1-0", status)
        self.assertIn("z1-0", self.choose_all())
        self.poll.note_answer("z1-0", 503)
        self.assertEqual(self.choose_all(), {"z1-1", "z1-2", "z1-3"})
        self.poll.note_answer("z1-0", 200)
        self.assertIn("z1-0", self.choose_all())

    def test_all_get_work_while_fewer_than_half_are_in(self):
        self.miss("z1-0", "z1-1")
        self.assertEqual(self.choose_all(), {"z1-2", "z1-3"})
        self.miss("z1-2")
        self.assertEqual(self.choose_all(), {f"z1-{n}" for n in range(4)})
        self.assertEqual(self.choose_all("z2"), {f"z2-{n}" for n in range(4)})


class AnswersTest(unittest.IsolatedAsyncioTestCase):

    async def test_answers_are_kept_with_the_process_that_was_asked(self):
        nodes = [types.SimpleNamespace(name="n1", zone="z1", pid=7)]
        answers = []
        asked = asyncio.Event()

        async def ask(node):
            node.pid = 8
            asked.set()
            return 503

        poll = ReadinessPoll(nodes, random.Random(1), answers)
        with mock.patch.object(readiness, "_ask", ask):
            task = asyncio.create_task(poll.run())
            await asked.wait()
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        found = [(a.node, a.pid, a.status) for a in answers]
        self.assertEqual(found, [("n1", 7, 503)])


if __name__ == "__main__":
    unittest.main()
