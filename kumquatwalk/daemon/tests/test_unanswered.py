"""Tests of what a daemon reports of requests that got no answer."""

import asyncio
import unittest
from unittest import mock

from kumquatwalk.http1 import server as server_module
from kumquatwalk.metrics.text import render_text
from kumquatwalk.standin.daemon_fleet import HOST
from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.standin.scripted_target import Script


class UnansweredTest(unittest.IsolatedAsyncioTestCase):

    # Guards against LOST: neither a log line nor a counter told of a request
    # that was passed on and got no answer.
    async def test_request_cut_off_by_the_end_of_the_process(self):
        fleet = DaemonFleet()
        await fleet.start(make_config(("web",), timeoutS=10.0))
        self.addAsyncCleanup(fleet.close)
        node = await fleet.add_node("web-1", "web")
        node.target.choose_script = lambda _: Script(work_s=8.0)
        await fleet.wait_until_ready()
        _, writer = await asyncio.open_connection(
            "127.0.0.1", node.daemon.caller_port
        )
        self.addCleanup(writer.close)
        writer.write(
            f"GET /web/a HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: id-7\r\n"
            "\r\n".encode()
        )
        async with asyncio.timeout(20):
            while not node.target.count_runs("id-7"):
                await asyncio.sleep(0.01)
        with mock.patch.object(server_module, "log_event") as log_event:
            await node.daemon.close()
        fields = log_event.call_args.kwargs
        self.assertEqual(
            (fields["request"], fields["stage"], fields["end"]),
            ("id-7", "passed_on", "process_end"),
        )
        line = (
            'kumquatwalk_requests_unanswered_total{end="process_end",'
            'stage="passed_on"} 1'
        )
        self.assertIn(line, render_text(node.daemon.core.registry))


if __name__ == "__main__":
    unittest.main()
