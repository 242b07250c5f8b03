"""Tests of health probes of the target."""

import asyncio
import contextlib
import time
import types
import unittest

from kumquatwalk.address import Address
from kumquatwalk.daemon.target_prober import PROBE_TIMEOUT_S
from kumquatwalk.daemon.target_prober import TargetProber
from kumquatwalk.daemon.tests.samples import make_settings

ANSWER = b"HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n"


class ProbedSide:
    """Target side that needs a probe.

    Attributes:
        found: Identifier of the target that has answered a probe.
    """

    def __init__(self):
        self.needs_probe = True
        self.probe_requested = asyncio.Event()
        self.found = asyncio.get_running_loop().create_future()

    def handle_probe(self, target_id, slots, asked_at):
        """Note the first answer."""
        del slots, asked_at
        if not self.found.done():
            self.found.set_result(target_id)


class TargetProberTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.probes = 0
        server = await asyncio.start_server(self.answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        target = Address(*server.sockets[0].getsockname())
        service = types.SimpleNamespace(health_path="/health")
        config = types.SimpleNamespace(services={"web": service})
        self.side = ProbedSide()
        self.prober = TargetProber(
            make_settings(target=target),
            self.side,
            types.SimpleNamespace(config=config),
        )

    async def answer(self, reader, writer):
        """Answer a probe; block the event loop after the first answer."""
        with contextlib.suppress(EOFError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            self.probes += 1
            writer.write(ANSWER)
            if self.probes == 1:
                time.sleep(PROBE_TIMEOUT_S + 0.05)
            await reader.read()
        writer.close()

    # Guards against calls that are refused until the next probe, as the node
    # was not scheduled when the first one was answered.
    async def test_answer_that_has_come_in_a_pause_counts(self):
        await self.prober.start()
        self.addAsyncCleanup(self.prober.close)
        self.assertEqual(await self.side.found, "i-1")
        self.assertEqual(self.probes, 1)


if __name__ == "__main__":
    unittest.main()
