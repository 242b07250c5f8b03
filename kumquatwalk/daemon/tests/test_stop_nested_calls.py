"""Test that a stop serves the calls of runs that it waits for."""

import asyncio
import unittest
from unittest import mock

from kumquatwalk.daemon.tests.stop_case import StopCase
from kumquatwalk.routing import settled_routes
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.standin.scripted_target import Script

SHORT_S = 0.02
# One call in this many took long; it ends well before the stop.
CALLS = 100
LONG_S = 2.2
# The run begins while the node takes callers, and calls after that.
RUN_S = 2.0
RUN_AFTER_S = 2.4
CALL_AFTER_S = 0.5


class StopNestedCallsTest(StopCase):

    async def call(self, path: str, attempt_id: str) -> tuple[int, bytes]:
        """Return status and body of the answer to a request at ``web-1``."""
        answer = await self.fleet.call("web-1", path, attempt_id, 6000)
        return answer.status, answer.body

    # Guards against refusals, for the rest of a stop, of all calls of the runs
    # that the stop waits for, because one call of their route took long.
    async def test_call_of_a_run_in_progress_is_served(self):
        node = await self.fleet.add_node("web-1", "web", grace_s=6.0)
        node.target.choose_script = lambda _: Script(work_s=RUN_S)
        other = await self.fleet.add_node("other-1", "other")
        other.target.choose_script = lambda request: Script(
            work_s=LONG_S if request.url == b"/other/long" else SHORT_S
        )
        await self.fleet.wait_until_ready()
        await self.call("/other/long", "long")
        for number in range(CALLS):
            await self.call("/other/", f"short-{number}")
        # On the platform's interface a nested call is known by its route only.
        with (
            mock.patch.object(
                CallGraph, "is_internal", lambda _, route: route == "other"
            ),
            mock.patch.object(settled_routes, "SETTLED_S", 0.0),
        ):
            drain = asyncio.create_task(node.daemon.drain())
            await asyncio.sleep(RUN_AFTER_S)
            run = asyncio.create_task(self.call("/web/", "run"))
            await asyncio.sleep(CALL_AFTER_S)
            nested = await self.call("/other/", "nested")
            self.assertEqual((await run)[0], 200)
            await drain
        self.assertEqual(nested, (200, b"answer"))


if __name__ == "__main__":
    unittest.main()
