"""Tests that non-idempotent calls run at most once when links break."""

import asyncio
import random
import time
import unittest

from kumquatwalk.clock import read_now
from kumquatwalk.mesh.peer_link import RECEIVE_TIMEOUT_S
from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.standin.scripted_target import Script

WORK_S = 0.4


class BrokenLinkTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        config = make_config(("web", "pay"), timeoutS=5.0)
        await self.fleet.start(config)
        self.addAsyncCleanup(self.fleet.close)
        self.web = await self.fleet.add_node("web-1", "web")
        self.pay = await self.fleet.add_node("pay-1", "pay")
        self.pay.target.choose_script = lambda _: Script(work_s=WORK_S)
        await self.fleet.wait_until_ready()

    def _pay(self, attempt_id: str) -> asyncio.Task:
        return asyncio.create_task(
            self.fleet.call(
                "web-1", "/pay-pay/", attempt_id, 5000, method=b"POST"
            )
        )

    def _break_link(self) -> None:
        self.web.daemon.core.peers.find("pay-1").reconnect()

    async def _wait_for_run(self) -> None:
        async with asyncio.timeout(10):
            while not self.pay.target.runs:
                await asyncio.sleep(0.01)

    async def test_payment_is_answered_after_its_link_broke(self):
        task = self._pay("id-1")
        await self._wait_for_run()
        self._break_link()
        self.assertEqual((await task).status, 200)
        self.assertEqual(self.pay.target.count_runs("id-1"), 1)

    async def test_answer_that_was_lost_with_its_link_is_fetched(self):
        task = self._pay("id-1")
        await self._wait_for_run()
        link = self.web.daemon.core.peers.find("pay-1")
        link.disconnect_for(WORK_S * 2)
        self.assertEqual((await task).status, 200)
        self.assertEqual(self.pay.target.count_runs("id-1"), 1)

    async def test_request_is_retried_on_the_new_link_of_an_only_target(self):
        # After a process freeze all links of a node are dead. An idempotent
        # request must not fail if the service has no other target.
        task = asyncio.create_task(
            self.fleet.call("web-1", "/pay/", "id-1", 5000)
        )
        await self._wait_for_run()
        self._break_link()
        self.assertEqual((await task).status, 200)
        self.assertEqual(self.pay.target.count_runs("id-1"), 2)

    # Guards against a refusal where the link to the only target broke before
    # the call had left, though the link was back at once.
    async def test_unsent_request_is_sent_on_the_new_link_of_an_only_target(
        self,
    ):
        self._set_partition(True)
        task = asyncio.create_task(
            self.fleet.call("web-1", "/pay/", "id-1", 5000)
        )
        await asyncio.sleep(0.1)
        self._break_link()
        await asyncio.sleep(0.02)
        self._set_partition(False)
        self.assertEqual((await task).status, 200)
        self.assertEqual(self.pay.target.count_runs("id-1"), 1)

    async def test_links_outlive_a_pause_of_their_own_process(self):
        # Guards against runs that a node breaks off as its links look silent
        # after a pause, though what has come only waits to be read.
        self.pay.target.choose_script = lambda _: Script(work_s=2.5)
        task = asyncio.create_task(
            self.fleet.call("web-1", "/pay/", "id-1", 5000)
        )
        await self._wait_for_run()
        time.sleep(RECEIVE_TIMEOUT_S + 0.1)
        self.assertEqual((await task).status, 200)
        self.assertEqual(self.pay.target.count_runs("id-1"), 1)

    def _set_partition(self, is_cut_off: bool) -> None:
        prefixes = ("127.0.0.1",) if is_cut_off else ()
        self.web.daemon.core.partition.set_prefixes(prefixes)

    async def test_payment_over_a_silent_link_is_answered_by_its_first_run(
        self,
    ):
        # The connection goes silent without a reset, and a new one works: the
        # payment must get the reply of its first run over the new link.
        task = self._pay("id-1")
        await self._wait_for_run()
        self._set_partition(True)
        link = self.web.daemon.core.peers.find("pay-1")
        async with asyncio.timeout(10):
            while link.is_usable:
                await asyncio.sleep(0.05)
        self._set_partition(False)
        self.assertEqual((await task).status, 200)
        self.assertEqual(self.pay.target.count_runs("id-1"), 1)

    # Guards against LOST: a payment that was lost with its link was answered as
    # if it might have run.
    async def test_payment_that_was_lost_with_its_link_is_refused(self):
        link = self.web.daemon.core.peers.find("pay-1")
        connected_since = link.unusable_since
        self._set_partition(True)
        task = self._pay("id-1")
        await asyncio.sleep(0.1)
        # What waits to be sent is lost with the connection.
        link.reconnect()
        async with asyncio.timeout(10):
            while link.unusable_since == connected_since:
                await asyncio.sleep(0.05)
        self._set_partition(False)
        self.assertEqual((await task).status, 503)
        self.assertEqual(self.pay.target.count_runs("id-1"), 0)

    # Guards against LOST: a payment that waited while the link was silent was
    # lost with the old connection, though that one worked again.
    async def test_payment_held_by_a_silent_link_runs_once(self):
        link = self.web.daemon.core.peers.find("pay-1")
        connected_since = link.unusable_since
        self._set_partition(True)
        task = self._pay("id-1")
        async with asyncio.timeout(10):
            while link.unusable_since == connected_since:
                await asyncio.sleep(0.05)
        self._set_partition(False)
        self.assertEqual((await task).status, 200)
        self.assertEqual(self.pay.target.count_runs("id-1"), 1)

    async def test_payment_is_not_sent_over_a_link_that_is_silent(self):
        self._set_partition(True)
        link = self.web.daemon.core.peers.find("pay-1")
        async with asyncio.timeout(10):
            while link.is_usable:
                await asyncio.sleep(0.05)
        self.assertEqual((await self._pay("id-1")).status, 503)
        self._set_partition(False)
        self.assertEqual(self.pay.target.count_runs("id-1"), 0)

    async def test_payment_is_unknown_when_the_other_process_is_a_new_one(self):
        task = self._pay("id-1")
        await self._wait_for_run()
        await self.fleet.restart_daemon("pay-1")
        self.assertIn((await task).status, (502, 504))
        await self.fleet.send_heartbeat("pay-1")
        self.assertEqual(self.pay.target.count_runs("id-1"), 1)

    async def test_no_payment_runs_twice_while_links_break_again_and_again(
        self,
    ):
        rng = random.Random(11)
        tasks = [self._pay(f"id-{i}") for i in range(12)]
        for _ in range(12):
            await asyncio.sleep(rng.uniform(0.02, 0.15))
            self._break_link()
        await self._check_payments(tasks)

    async def _check_payments(self, tasks: list[asyncio.Task]) -> None:
        """Check that each ran at most once, and as its answer says."""
        statuses = [(await task).status for task in tasks]
        for index, status in enumerate(statuses):
            runs = self.pay.target.count_runs(f"id-{index}")
            self.assertLessEqual(runs, 1)
            if status == 200:
                self.assertEqual(runs, 1)
            if status == 503:
                self.assertEqual(runs, 0)

    # Guards against runs of both copies of a payment, where the connection of
    # the first one is kept for its reply.
    async def test_no_payment_runs_twice_while_links_go_silent(self):
        rng = random.Random(12)
        link = self.web.daemon.core.peers.find("pay-1")
        tasks = []
        for index in range(24):
            tasks.append(self._pay(f"id-{index}"))
            await asyncio.sleep(rng.uniform(0.0, 0.1))
            if index % 2:
                self._set_partition(index % 4 == 1)
            if rng.random() < 0.5:
                link.reset_if_silent(read_now() + RECEIVE_TIMEOUT_S + 1.0)
        self._set_partition(False)
        await self._check_payments(tasks)


class RosterTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        await self.fleet.start(make_config(("web",)))
        self.addAsyncCleanup(self.fleet.close)
        for name in ("web-1", "web-2"):
            await self.fleet.add_node(name, "web")
        await self.fleet.wait_until_ready()

    async def test_deleted_own_entry_is_written_again(self):
        # The store deletes a node's keys, and none of the node's calls to the
        # store fails because of it.
        key = "kumquatwalk/nodes/web-1"
        self.fleet.store.delete(key)
        async with asyncio.timeout(2):
            while key not in self.fleet.store.list_keys():
                await asyncio.sleep(0.01)

    async def test_ended_leases_are_replaced(self):
        for lease in (1, 2):
            self.fleet.store.expire_lease(lease)
        async with asyncio.timeout(2):
            while len(self.fleet.store.list_keys()) < 3:
                await asyncio.sleep(0.01)
        self.assertEqual(
            (await self.fleet.call("web-1", "/web/", "i")).status, 200
        )

    async def test_lost_history_is_followed_by_a_full_read(self):
        self.fleet.store.compact_history()
        self.fleet.store.put("op/config", make_config(("web",), version=4))
        daemon = self.fleet.nodes["web-1"].daemon
        async with asyncio.timeout(5):
            while daemon.core.configs.version != 4:
                await asyncio.sleep(0.01)

    async def test_malformed_entry_does_not_affect_others(self):
        self.fleet.store.put("kumquatwalk/nodes/odd", b"\xff{")
        await self.fleet.add_node("web-3", "web")
        await self.fleet.wait_until_ready()

    async def test_requests_are_served_while_the_store_is_down(self):
        self.fleet.store.is_down = True
        for turn in range(10):
            answer = await self.fleet.call("web-1", "/web/", f"id-{turn}")
            self.assertEqual(answer.status, 200)
            await asyncio.sleep(0.05)


if __name__ == "__main__":
    unittest.main()
