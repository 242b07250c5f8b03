"""Tests of at-most-once execution, complete answers and refusals."""

import functools
import itertools
import threading
import unittest

from kumquatwalk.proofs.chain import NODES
from kumquatwalk.proofs.chain import ChainFleet
from kumquatwalk.proofs.chain import run_concurrently
from kumquatwalk.proofs.load import ClosedLoopLoad
from kumquatwalk.standin.fleet import wait_until

PORTALS = ("z1-vm1", "z2-vm2")
PAYMENTS = ("z1-vm2", "z3-vm1")
REGISTRIES = ("z2-vm1", "z3-vm2")
UNREACHABLE = ("unknown", "owner_unreachable")


class OnceTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.names = itertools.count(1)
        cls.chain = ChainFleet()
        cls.addClassCleanup(cls.chain.close)
        cls.chain.start()

    def tearDown(self):
        self.assertEqual(self.chain.check(), [])

    def make_name(self):
        """Return the name of a new request."""
        return f"request-{next(self.names)}"

    def slow_down(self, nodes, factor):
        """Slow targets down by a factor until the test ends."""
        for node_id in nodes:
            self.chain.set_target_faults(node_id, service_factor=factor)
            self.addCleanup(self.chain.set_target_faults, node_id)

    def start_sending(self, *arguments, **options):
        """Send in a thread; return the thread and its list of answers."""
        answers = []
        thread = threading.Thread(
            target=lambda: answers.append(
                self.chain.send(*arguments, **options)
            ),
            daemon=True,
        )
        thread.start()
        return thread, answers

    def restart(self, node_id):
        """Restart a killed node and its target; wait for the fleet."""
        self.chain.start_node(node_id)
        self.chain.fleet.targets[node_id].stop()
        self.chain.start_target(node_id)
        self.chain.fleet.wait_ready()

    def test_same_key_at_all_nodes_at_once_runs_once(self):
        for _ in range(5):
            name = self.make_name()
            sends = [
                functools.partial(
                    self.chain.send, node_id, "renew", name, key=name
                )
                for node_id in NODES * 2
            ]
            answers = run_concurrently(sends)
            outcomes = {(answer.outcome, answer.code) for answer in answers}
            self.assertEqual(outcomes, {("done", "")})
            self.assertEqual(len({answer.body for answer in answers}), 1)

    def test_one_ticket_at_all_nodes_runs_once(self):
        name = self.make_name()
        ticket = self.chain.get_caller(NODES[0]).get_ticket()
        sends = [
            functools.partial(
                self.chain.send, node_id, "renew", name, ticket=ticket
            )
            for node_id in NODES
        ]
        answers = run_concurrently(sends)
        self.assertEqual({answer.outcome for answer in answers}, {"done"})
        self.assertEqual(len({answer.body for answer in answers}), 1)

    def test_lost_answers_of_the_platform_refuse_nothing(self):
        for node_id in NODES:
            name = self.make_name()
            self.chain.send(node_id, "renew", name, key=name)
        self.chain.set_platform_faults(lose_answers=len(NODES))
        self.addCleanup(self.chain.set_platform_faults)
        outcomes = set()
        for node_id in NODES:
            name = self.make_name()
            answer = self.chain.send(node_id, "renew", name, key=name)
            again = self.chain.send(NODES[3], "renew", name, key=name)
            outcomes |= {answer.outcome, answer.code}
            outcomes |= {again.outcome, again.code}
        self.assertEqual(outcomes, {"done", ""})

    def test_outage_refuses_keys_as_not_run_and_serves_tickets(self):
        self.chain.set_platform_faults(outage=True)
        self.addCleanup(self.chain.set_platform_faults)
        name = self.make_name()
        answer = self.chain.send(NODES[1], "renew", name, key=name)
        self.assertEqual(answer.outcome, "not_run")
        ticket = self.chain.get_caller(NODES[1]).get_ticket()
        answer = self.chain.send(
            NODES[1], "renew", self.make_name(), ticket=ticket
        )
        self.assertEqual(answer.outcome, "done")

    def test_key_with_another_body_is_refused(self):
        first, second = self.make_name(), self.make_name()
        self.chain.send(NODES[0], "renew", first, key=first)
        answer = self.chain.send(NODES[4], "renew", second, key=first)
        self.assertEqual(answer.outcome, "not_run")
        self.assertEqual(answer.code, "key_reused")

    def test_owner_killed_in_the_run_leaves_the_outcome_unknown(self):
        self.slow_down(PAYMENTS, 100)
        name, owner = self.make_name(), REGISTRIES[0]
        sender, _ = self.start_sending(owner, "renew", name, key=name)
        self.chain.wait_for_run(name, "pay")
        self.addCleanup(self.restart, owner)
        self.chain.fleet.nodes[owner].kill()
        sender.join(60.0)
        again = self.chain.send(PORTALS[1], "renew", name, key=name)
        self.assertEqual((again.outcome, again.code), UNREACHABLE)

    def test_gate_killed_in_the_run_is_not_called_not_run(self):
        self.slow_down(PAYMENTS, 100)
        name = self.make_name()
        sender, answers = self.start_sending(
            REGISTRIES[0], "renew", name, key=name
        )
        gate = self.chain.wait_for_run(name, "pay").target
        self.addCleanup(self.restart, gate)
        self.chain.fleet.nodes[gate].kill()
        sender.join(60.0)
        self.assertIn(answers[0].outcome, ("unknown", "failed"))
        again = self.chain.send(REGISTRIES[0], "renew", name, key=name)
        self.assertNotIn(again.outcome, ("not_run", "done"))

    def test_frozen_gate_wakes_without_a_second_run(self):
        self.slow_down(PAYMENTS, 20)
        name = self.make_name()
        sender, answers = self.start_sending(
            REGISTRIES[1], "renew", name, key=name
        )
        gate = self.chain.wait_for_run(name, "pay").target
        self.chain.fleet.nodes[gate].suspend()
        sender.join(60.0)
        self.chain.fleet.nodes[gate].resume()
        self.assertNotEqual(answers[0].outcome, "not_run")
        again = self.chain.send(PORTALS[0], "renew", name, key=name)
        self.assertNotEqual(again.outcome, "not_run")
        self.chain.fleet.wait_ready()

    def test_frozen_owner_wakes_without_a_second_run(self):
        self.slow_down(PAYMENTS, 50)
        name, owner = self.make_name(), REGISTRIES[1]
        sender, answers = self.start_sending(owner, "renew", name, key=name)
        self.chain.wait_for_run(name, "pay")
        self.chain.fleet.nodes[owner].suspend()
        again = self.chain.send(PORTALS[0], "renew", name, key=name)
        self.assertEqual((again.outcome, again.code), UNREACHABLE)
        self.chain.fleet.nodes[owner].resume()
        sender.join(60.0)
        self.assertNotEqual(answers[0].outcome, "not_run")
        self.chain.fleet.wait_ready()

    def test_cut_zone_runs_nothing_twice(self):
        self.slow_down(PAYMENTS, 50)
        name, owner = self.make_name(), REGISTRIES[0]
        sender, answers = self.start_sending(owner, "renew", name, key=name)
        self.chain.wait_for_run(name, "pay")
        for node_id in NODES:
            others = ("127.1.", "127.3.")
            prefixes = others if node_id[1] == "2" else ("127.2.",)
            self.chain.fleet.block_hosts(node_id, prefixes)
        again = self.chain.send(NODES[0], "renew", name, key=name)
        sender.join(60.0)
        for node_id in NODES:
            self.chain.fleet.block_hosts(node_id, ())
        self.assertNotEqual(answers[0].outcome, "not_run")
        self.assertEqual((again.outcome, again.code), UNREACHABLE)
        self.chain.fleet.wait_ready()

    def test_silent_target_connections_are_replaced(self):
        for kind in ("requests", "answers"):
            for node_id in PORTALS:
                self.chain.set_target_faults(node_id, silent=kind)
            run_concurrently(
                [
                    functools.partial(
                        self.chain.send, node_id, "browse", self.make_name()
                    )
                    for node_id in NODES
                ]
            )
            wait_until(self.is_browsing_served, "browsing to be served again")
            self.assertEqual(self.chain.check(), [])
            for node_id in PORTALS:
                self.chain.set_target_faults(node_id)

    def is_browsing_served(self):
        """Return whether all nodes serve the entry browse."""
        answers = [
            self.chain.send(node_id, "browse", self.make_name())
            for node_id in NODES
        ]
        return all(answer.outcome == "done" for answer in answers)

    def test_refusals_under_overload_are_true(self):
        self.slow_down(PORTALS, 20)
        load = ClosedLoopLoad(
            self.chain, list(NODES) * 10, "browse", self.make_name()
        )
        load.start()
        self.addCleanup(load.close)
        for outcome in ("done", "not_run"):
            wait_until(
                lambda outcome=outcome: self.count_answers(load, outcome) >= 50,
                f"answers {outcome}",
            )
        load.close()

    def count_answers(self, load, outcome):
        """Return the number of answers of a load with an outcome."""
        return sum(answer.outcome == outcome for answer in load.answers)

    def test_large_answers_arrive_whole_on_shared_connections(self):
        sends = [
            functools.partial(
                self.chain.send,
                NODES[index % 6],
                "browse",
                self.make_name(),
                size=size,
            )
            for index, size in enumerate([1, 70_000, 300_000, 10] * 6)
        ]
        answers = run_concurrently(sends)
        self.assertIn("done", {answer.outcome for answer in answers})


if __name__ == "__main__":
    unittest.main()
