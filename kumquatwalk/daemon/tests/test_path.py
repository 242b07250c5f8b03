"""Tests of the whole request path: daemons, targets and store in one loop."""

import asyncio
import unittest

from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import exchange
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.standin.scripted_target import Script


def _list_header_values(answer, name: bytes) -> list[bytes]:
    """Return the values of all headers of a name."""
    return [v for n, v in answer.headers if n.lower() == name]


class PathTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        await self.fleet.start(make_config(("web", "pay")))
        self.addAsyncCleanup(self.fleet.close)
        self.web = await self.fleet.add_node("web-1", "web")
        self.pay = await self.fleet.add_node("pay-1", "pay")
        await self.fleet.wait_until_ready()

    async def test_request_reaches_the_target_on_the_same_vm(self):
        answer = await self.fleet.call("web-1", "/web/a?b=c", "id-1")
        self.assertEqual((answer.status, answer.body), (200, b"answer"))
        self.assertEqual(answer.find_header(b"server-seal"), b"seal-i-web-1")
        self.assertEqual(_list_header_values(answer, b"attempt-id"), [b"id-1"])
        self.assertEqual(self.web.target.runs[0].request.url, b"/web/a?b=c")

    async def test_request_reaches_a_target_on_another_vm(self):
        answer = await self.fleet.call(
            "web-1", "/pay-pay/x", "id-2", method=b"POST", body=b"amount=3"
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(_list_header_values(answer, b"attempt-id"), [b"id-2"])
        request = self.pay.target.runs[0].request
        self.assertEqual((request.method, request.body), (b"POST", b"amount=3"))
        self.assertEqual(request.find_header(b"attempt-id"), b"id-2")
        self.assertEqual(request.find_header(b"caller-service"), b"web")
        self.assertEqual(request.find_header(b"expect-instance"), b"i-pay-1")
        left_ms = int(request.find_header(b"deadline-ms"))
        self.assertTrue(0 < left_ms <= 2000, left_ms)

    async def test_forged_caller_service_is_replaced(self):
        headers = (
            (b"Attempt-Id", b"id-3"),
            (b"Deadline-Ms", b"2000"),
            (b"Caller-Service", b"pay"),
            (b"Expect-Instance", b"i-other"),
        )
        address = self.web.settings.caller_listener
        answer = await exchange(address, b"GET", b"/web/", headers, b"")
        self.assertEqual(answer.status, 200)
        request = self.web.target.runs[0].request
        values = [v for n, v in request.headers if n == b"Caller-Service"]
        self.assertEqual(values, [b"web"])

    async def test_unknown_route_is_answered_404(self):
        answer = await self.fleet.call("web-1", "/none/a", "id-4")
        self.assertEqual(answer.status, 404)

    async def test_new_configuration_is_in_force_on_each_node(self):
        self.fleet.store.put("op/config", make_config(("web", "pay", "x"), 9))
        async with asyncio.timeout(10):
            while any(
                n.daemon.core.configs.version != 9
                for n in self.fleet.nodes.values()
            ):
                await asyncio.sleep(0.01)

    async def test_unreadable_and_older_configuration_change_nothing(self):
        self.fleet.store.put("op/config", b'{"version": "r50", "routes"')
        self.fleet.store.put("op/config", make_config(("web", "pay"), 5))
        async with asyncio.timeout(10):
            while self.web.daemon.core.configs.version != 5:
                await asyncio.sleep(0.01)
        self.fleet.store.put("op/config", make_config(("web",), 3))
        self.fleet.store.put("op/config", make_config(("web", "pay"), 6))
        async with asyncio.timeout(10):
            while self.web.daemon.core.configs.version != 6:
                await asyncio.sleep(0.01)
        self.assertEqual(
            (await self.fleet.call("web-1", "/pay/", "i")).status, 200
        )

    async def test_disconnected_caller_frees_the_target(self):
        self.pay.target.choose_script = lambda _: Script(work_s=30.0)
        task = asyncio.create_task(
            self.fleet.call("web-1", "/pay/", "id-5", deadline_ms=60000)
        )
        async with asyncio.timeout(10):
            while not self.pay.target.runs:
                await asyncio.sleep(0.01)
            task.cancel()
            while not self.pay.target.runs[0].is_aborted:
                await asyncio.sleep(0.01)

    async def test_draining_target_gets_nothing_once_it_is_acknowledged(self):
        answer = await self.fleet.send_heartbeat("pay-1", state="draining")
        self.assertEqual(answer.status, 200)
        answer = await self.fleet.call("web-1", "/pay/", "id-6", 300)
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.pay.target.runs, [])

    async def test_restarted_daemon_with_the_store_away_serves_again(self):
        self.fleet.store.is_down = True
        await self.fleet.restart_daemon("web-1")
        async with asyncio.timeout(15):
            while not self.web.daemon.is_ready:
                await asyncio.sleep(0.02)
            status = 0
            while status != 200:
                answer = await self.fleet.call("web-1", "/pay/", "id-7")
                status = answer.status
                await asyncio.sleep(0.02)


# Begin of an answer without end.
HEAD = b"HTTP/1.1 200 OK\r\n"


class FaultyTargetTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        await self.fleet.start(make_config(("web",)))
        self.addAsyncCleanup(self.fleet.close)
        self.first = await self.fleet.add_node("web-1", "web")
        self.second = await self.fleet.add_node("web-2", "web", "z2")
        await self.fleet.wait_until_ready()

    def _script_both(self, first: Script, second: Script = Script()):
        self.first.target.choose_script = lambda _: first
        self.second.target.choose_script = lambda _: second

    def _count_runs(self) -> int:
        return len(self.first.target.runs) + len(self.second.target.runs)

    async def test_spoiled_answers_are_fetched_again_elsewhere(self):
        for name, script in (
            ("cut", Script(sent_fraction=0.7)),
            ("closed", Script(sent_fraction=0.0)),
            ("unsigned", Script(is_signed=False)),
            ("garbage", Script(prefix=b"\x00\x01garbage\r\n\r\n")),
            ("encoded", Script(extra_headers=(b"Content-Encoding: gzip",))),
            (
                "chunk",
                Script(
                    has_length=False,
                    sent_fraction=0.9,
                    extra_headers=(b"Transfer-Encoding: chunked",),
                ),
            ),
        ):
            with self.subTest(name):
                self._script_both(script)
                answer = await self.fleet.call("web-1", "/web/", f"id-{name}")
                self.assertEqual((answer.status, answer.body), (200, b"answer"))
                self.assertEqual(
                    answer.find_header(b"server-seal"), b"seal-i-web-2"
                )
                self.first.daemon.core.caller_side.clear_backoffs()

    async def test_spoiled_payment_is_run_once_and_its_outcome_unknown(self):
        for name, script in (
            ("cut", Script(sent_fraction=0.7)),
            ("closed", Script(sent_fraction=0.0)),
            ("unsigned", Script(is_signed=False)),
        ):
            with self.subTest(name):
                self._script_both(script, script)
                before = self._count_runs()
                answer = await self.fleet.call(
                    "web-1", "/web-pay/", f"pay-{name}", method=b"POST"
                )
                self.assertEqual(answer.status, 502)
                self.assertEqual(self._count_runs(), before + 1)

    async def test_answer_to_another_request_is_skipped(self):
        other = (
            b"HTTP/1.1 200 OK\r\nAttempt-Id: someone\r\nServer-Seal: s\r\n"
            b"Content-Length: 5\r\n\r\nwrong"
        )
        self._script_both(Script(prefix=other), Script(prefix=other))
        answer = await self.fleet.call(
            "web-1", "/web-pay/", "pay-1", method=b"POST"
        )
        self.assertEqual((answer.status, answer.body), (200, b"answer"))

    async def test_second_answer_is_not_given_to_the_next_request(self):
        extra = (
            b"HTTP/1.1 200 OK\r\nAttempt-Id: pay-1\r\nServer-Seal: s\r\n"
            b"Content-Length: 5\r\n\r\nwrong"
        )
        self._script_both(Script(suffix=extra), Script(suffix=extra))
        for i in range(4):
            answer = await self.fleet.call("web-1", "/web/", f"pay-{i}")
            self.assertEqual((answer.status, answer.body), (200, b"answer"))

    async def test_answer_without_a_length_ends_with_its_connection(self):
        self._script_both(Script(has_length=False, body=b"x" * 50000))
        answer = await self.fleet.call("web-1", "/web/", "id-1")
        self.assertEqual((answer.status, len(answer.body)), (200, 50000))

    async def test_shed_request_goes_to_another_target(self):
        shed = Script(status=503, was_not_run=True)
        self._script_both(shed)
        answer = await self.fleet.call(
            "web-1", "/web-pay/", "pay-1", method=b"POST"
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(self._count_runs(), 1)

    async def test_failed_run_is_not_answered_as_not_run(self):
        # A run fails and the other target refuses the retry: the refusal must
        # not hide that the request has run.
        self._script_both(
            Script(status=500), Script(status=503, was_not_run=True)
        )
        answer = await self.fleet.call("web-1", "/web/", "id-1")
        self.assertEqual(answer.status, 500)
        self._script_both(
            Script(sent_fraction=0.0), Script(status=503, was_not_run=True)
        )
        self.first.daemon.core.caller_side.clear_backoffs()
        answer = await self.fleet.call("web-1", "/web/", "id-2")
        self.assertEqual(answer.status, 502)

    async def _check_cut_off(self, script: Script) -> None:
        """Check that an answer of the first target without end is a failure."""
        core = self.first.daemon.core
        core.body_budget.limit = 1 << 20
        self._script_both(script)
        answer = await self.fleet.call("web-1", "/web/", "id-1")
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.find_header(b"server-seal"), b"seal-i-web-2")
        run = self.first.target.runs[-1]
        async with asyncio.timeout(10):
            while not run.is_aborted:
                await asyncio.sleep(0.01)
        self.assertEqual(core.body_budget.used, 0)
        self.assertEqual(core.target_side.limiter.running, 0)
        self.assertGreater(core.target_side.get_status().failure_share, 0.0)

    async def test_header_line_without_end_is_cut_off_and_counted(self):
        await self._check_cut_off(
            Script(prefix=HEAD + b"X: ", endless=b"y" * 65536)
        )

    async def test_header_lines_without_end_are_cut_off_and_counted(self):
        await self._check_cut_off(
            Script(prefix=HEAD, endless=b"X: y\r\n" * 9000)
        )

    async def test_interim_answers_without_end_are_cut_off_and_counted(self):
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        await self._check_cut_off(Script(endless=interim * 999))

    async def test_bytes_that_are_no_answer_are_cut_off_and_counted(self):
        await self._check_cut_off(Script(endless=b"\x00\x01\x02" * 9000))

    async def test_body_without_end_is_cut_off_and_counted(self):
        await self._check_cut_off(
            Script(prefix=HEAD + b"\r\n", endless=b"z" * 65536)
        )

    async def test_chunks_without_end_are_cut_off_and_counted(self):
        await self._check_cut_off(
            Script(
                prefix=HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
                endless=b"8000\r\n" + b"c" * 0x8000 + b"\r\n",
            )
        )

    async def test_payment_answered_without_end_is_unknown_and_run_once(self):
        script = Script(endless=b"HTTP/1.1 100 Continue\r\n\r\n" * 999)
        self._script_both(script, script)
        answer = await self.fleet.call(
            "web-1", "/web-pay/", "pay-1", method=b"POST"
        )
        self.assertEqual(answer.status, 502)
        self.assertEqual(self._count_runs(), 1)

    async def test_replaced_target_is_not_used(self):
        self.first.target.target_id = "i-new"
        answer = await self.fleet.call("web-1", "/web/", "id-1")
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.find_header(b"server-seal"), b"seal-i-web-2")


if __name__ == "__main__":
    unittest.main()
