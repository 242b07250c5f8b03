"""Tests of the closed-loop callers against a small server."""

import asyncio
import unittest

from benchmarks.closed_loop import CallerGroup
from benchmarks.closed_loop import run_groups

BROWSERS = 90
RENEWERS = 3
SECONDS = 0.5


async def serve(reader, writer):
    """Answer each request after a short while, calls of renew as refused."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            lengths = [
                int(line.split(b":")[1])
                for line in head.split(b"\r\n")
                if line.startswith(b"Content-Length:")
            ]
            await reader.readexactly(lengths[0])
            await asyncio.sleep(0.01)
            is_renewal = head.startswith(b"POST /renew ")
            outcome = b"not_run" if is_renewal else b"done"
            writer.write(
                b"HTTP/1.1 200 OK\r\nKumquat-Outcome: %b\r\n"
                b"Content-Length: 0\r\n\r\n" % outcome
            )
    except (EOFError, ConnectionError):
        writer.close()


class ClosedLoopTest(unittest.IsolatedAsyncioTestCase):

    # Guards against the demo's fault: the callers that were started last began
    # after the end of the surge.
    async def test_all_callers_begin_before_the_clock_and_call(self):
        server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=512)
        host, port = server.sockets[0].getsockname()
        groups = [
            CallerGroup(f"{host}:{port}", "browse", BROWSERS),
            CallerGroup(f"{host}:{port}", "browse", BROWSERS),
            CallerGroup(f"{host}:{port}", "renew", RENEWERS, True),
        ]
        results = await run_groups(groups, SECONDS, 1)
        server.close()
        begun = [result.callers_begun for result in results]
        self.assertEqual(begun, [BROWSERS, BROWSERS, RENEWERS])
        for result in results[:2]:
            self.assertGreaterEqual(result.outcomes["done"], BROWSERS)
            self.assertEqual(sum(result.done_per_bin), result.outcomes["done"])
        self.assertGreaterEqual(results[2].outcomes["not_run"], RENEWERS)
        self.assertEqual(results[2].quantiles_ms, {})

    # Guards against a run of CI that fails on a busy machine: callers whose
    # turn came after the end of the time were left out.
    async def test_each_caller_calls_once_when_the_time_is_over(self):
        server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=512)
        host, port = server.sockets[0].getsockname()
        group = CallerGroup(f"{host}:{port}", "browse", BROWSERS)
        (result,) = await run_groups([group], 0.0, 1)
        server.close()
        self.assertEqual(result.outcomes, {"done": BROWSERS})

    async def test_call_without_an_answer_is_counted_as_none(self):
        group = CallerGroup("127.0.0.1:1", "browse", 1)
        (result,) = await run_groups([group], 0.1, 1)
        self.assertEqual(set(result.outcomes), {"none"})


if __name__ == "__main__":
    unittest.main()
