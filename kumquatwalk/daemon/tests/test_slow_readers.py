"""Test that slow readers of large answers keep no other callers out."""

import asyncio
import unittest

from kumquatwalk.http1.encoder import encode_request
from kumquatwalk.standin.daemon_fleet import HOST
from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.standin.scripted_target import Script

LARGE_BYTES = 12 * 1024 * 1024
LIMIT_BYTES = 16 * 1024 * 1024


def _choose_script(request) -> Script:
    is_large = request.url.startswith(b"/web/large")
    return Script(body=bytes(LARGE_BYTES) if is_large else b"answer")


class SlowReadersTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        await self.fleet.start(make_config(("web", "pay")))
        self.addAsyncCleanup(self.fleet.close)
        for name in ("web-1", "pay-1"):
            node = await self.fleet.add_node(name, name[:3])
            node.target.choose_script = _choose_script
        await self.fleet.wait_until_ready()

    async def _ask(self, attempt_id: str) -> asyncio.StreamWriter:
        """Send a request with a large answer that is not read."""
        address = self.fleet.nodes["web-1"].settings.caller_listener
        _, writer = await asyncio.open_connection(address.host, address.port)
        self.addCleanup(writer.close)
        writer.transport.pause_reading()
        headers = (
            (b"Host", HOST.encode()),
            (b"Attempt-Id", attempt_id.encode()),
            (b"Deadline-Ms", b"2000"),
        )
        writer.write(encode_request(b"GET", b"/web/large", headers, b""))
        return writer

    # Guards against refusals of all callers while a few clients read slowly.
    async def test_small_requests_are_served_while_large_answers_wait(self):
        core = self.fleet.nodes["web-1"].daemon.core
        core.answer_budget.limit = LIMIT_BYTES
        await self._ask("large-1")
        await self._ask("large-2")
        async with asyncio.timeout(20):
            while core.answer_budget.used < 2 * LARGE_BYTES:
                await asyncio.sleep(0.01)
        payment = await self.fleet.call(
            "web-1", "/pay-pay/", "small", 2000, b"POST", b"fee"
        )
        self.assertEqual(payment.status, 200)
        refused = await self.fleet.call("web-1", "/web/large", "large-3")
        self.assertEqual(refused.status, 503)
        self.assertIn(b"memory_exhausted", refused.body)
        self.assertFalse(self.fleet.nodes["web-1"].target.count_runs("large-3"))


if __name__ == "__main__":
    unittest.main()
