"""Tests of overload deep in the call chain and of bounded attempts."""

import functools
import itertools
import threading
import unittest

from kumquatwalk.history import check_attempts_bounded
from kumquatwalk.proofs.chain import NODES
from kumquatwalk.proofs.chain import ChainFleet
from kumquatwalk.proofs.chain import get_service
from kumquatwalk.proofs.chain import run_concurrently
from kumquatwalk.proofs.load import ClosedLoopLoad
from kumquatwalk.standin.fleet import wait_until

ENTRY_NODE = "z1-vm3"
HANG_GUARD_S = 60.0
MAX_SENDS = 5
# More requests than the slowed registries can run within the time limit of a
# request, at any sending rate: they have eight slots and take 1 s per run.
RETRYING_CALLERS = 96
RETRY_SLOW_FACTOR = 20
REGISTRY_SLOTS = 4
REGISTRY_MS = 50
SLOTS = 16
SLOW_FACTOR = 40
PORTALS_AND_REGISTRIES = {
    node_id: "portal" if node_id.endswith("vm1") else "registry"
    for node_id in NODES
}


class SmallRegistryFleet(ChainFleet):
    """Chain whose last service, registry, has few slots.

    Args:
        services: Service of the target on each node's VM, by node id.
    """

    def __init__(self, services):
        super().__init__()
        self._services = services

    def start_target(self, node_id, service_ms=10):
        """Start the target on a node's VM."""
        service = self._services[node_id]
        is_deepest = service == "registry"
        slots = REGISTRY_SLOTS if is_deepest else SLOTS
        service_ms = REGISTRY_MS if is_deepest else service_ms
        options = ["--slots", str(slots), "--service-ms", str(service_ms)]
        for calls in ("browse=verify", "renew=pay", "pay=verify"):
            options += ["--calls", calls]
        options += ["--record", str(self._record_path(node_id))]
        options += ["--seed", str(NODES.index(node_id))]
        self.fleet.start_target(node_id, service, tuple(options))

    def send_until_done(self, entry, request, nodes):
        """Resend a request to the next node at once until it is done."""
        answers = []
        for node_id in itertools.islice(itertools.cycle(nodes), MAX_SENDS):
            answers.append(self.send(node_id, entry, request))
            if answers[-1].outcome == "done":
                break
        return answers


class OverloadTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.chain = SmallRegistryFleet({n: get_service(n) for n in NODES})
        cls.addClassCleanup(cls.chain.close)
        cls.chain.start()

    def tearDown(self):
        self.assertEqual(self.chain.check(), [])

    def is_browsing_served(self, names):
        """Return whether all nodes serve the entry browse."""
        answers = [
            self.chain.send(node_id, "browse", f"after-{next(names)}")
            for node_id in NODES
        ]
        return all(answer.outcome == "done" for answer in answers)

    def test_renewals_complete_while_browsing_is_refused(self):
        browsing = ClosedLoopLoad(
            self.chain, list(NODES) * 6, "browse", "browser"
        )
        renewing = ClosedLoopLoad(
            self.chain, list(NODES[:3]), "renew", "renewer"
        )
        browsing.start()
        self.addCleanup(browsing.close)
        wait_until(lambda: len(browsing.answers) >= 50, "browsing")
        renewing.start()
        self.addCleanup(renewing.close)
        wait_until(lambda: len(renewing.answers) >= 60, "renewals")
        renewing.close()
        browsing.close()
        renewed = {(a.outcome, a.code) for a in renewing.answers}
        self.assertEqual(renewed, {("done", "")})
        browsed = {answer.outcome for answer in browsing.answers}
        self.assertLessEqual({"done", "not_run"}, browsed)
        names = itertools.count(1)
        wait_until(
            lambda: self.is_browsing_served(names), "browsing to be served"
        )

    def test_callers_that_send_again_at_once_get_no_more_attempts(self):
        for node_id in NODES:
            if get_service(node_id) == "registry":
                self.chain.set_target_faults(
                    node_id, service_factor=RETRY_SLOW_FACTOR
                )
                self.addCleanup(self.chain.set_target_faults, node_id)
        sends = [
            functools.partial(
                self.chain.send_until_done,
                "browse",
                f"eager-{number}",
                NODES[number % 6 :] + NODES[: number % 6],
            )
            for number in range(RETRYING_CALLERS)
        ]
        answers = [a for each in run_concurrently(sends) for a in each]
        self.assertIn("not_run", {answer.outcome for answer in answers})


class AttemptsTest(unittest.TestCase):
    """Three portals, three registries and an entry node without a target."""

    @classmethod
    def setUpClass(cls):
        cls.chain = SmallRegistryFleet(PORTALS_AND_REGISTRIES)
        cls.addClassCleanup(cls.chain.close)
        cls.chain.start()
        cls.chain.start_node(ENTRY_NODE)
        cls.chain.fleet.wait_ready()

    def tearDown(self):
        self.assertEqual(self.chain.check(), [])

    def count_runs(self, request, entry):
        """Return the number of runs of a request at an entry."""
        return sum(
            run.request == request and run.entry == entry
            for run in self.chain.read_runs()
        )

    def slow_down_registries(self):
        """Slow the registries so that no run ends before its node is killed."""
        for node_id in self.list_registries():
            self.chain.set_target_faults(node_id, service_factor=SLOW_FACTOR)

    def list_registries(self):
        """Return the nodes whose target is a registry."""
        services = PORTALS_AND_REGISTRIES.items()
        return [n for n, service in services if service == "registry"]

    def test_failures_of_targets_are_not_tried_again(self):
        for node_id in self.list_registries():
            self.chain.set_target_faults(node_id, fail_marker="flop")
            self.addCleanup(self.chain.set_target_faults, node_id)
        nodes = (ENTRY_NODE, *NODES)
        sends = [
            functools.partial(
                self.chain.send_until_done, "browse", f"flop-{n}", nodes
            )
            for n in range(4)
        ]
        answers = [a for each in run_concurrently(sends) for a in each]
        self.assertEqual({a.outcome for a in answers}, {"failed"})
        self.chain.check()
        found = check_attempts_bounded(
            self.chain.history, {"browse": 2}, {"browse": 0}
        )
        self.assertEqual(found, [])

    def test_lost_replies_are_tried_again_within_the_tokens(self):
        self.slow_down_registries()
        request = "lost-1"
        answers = []
        sender = threading.Thread(
            target=lambda: answers.append(
                self.chain.send(ENTRY_NODE, "browse", request)
            ),
            daemon=True,
        )
        sender.start()
        killed = 0
        while self.wait_for_attempt(sender, request, killed + 1):
            self.kill_portal(request)
            killed += 1
        sender.join(HANG_GUARD_S)
        self.assertGreater(killed, 0)
        self.assertNotEqual(answers[0].outcome, "not_run")

    def wait_for_attempt(self, sender, request, number):
        """Wait for an attempt at the registry or for the answer.

        Returns:
            Whether the request is still unanswered.
        """
        wait_until(
            lambda: self.count_runs(request, "verify") >= number
            or not sender.is_alive(),
            "an attempt",
        )
        return sender.is_alive()

    def kill_portal(self, request):
        """Kill the running node whose portal has run a request."""
        node = next(
            self.chain.fleet.nodes[run.target]
            for run in self.chain.read_runs()
            if run.request == request
            and run.entry == "browse"
            and self.chain.fleet.nodes[run.target].is_running()
        )
        node.kill()


if __name__ == "__main__":
    unittest.main()
