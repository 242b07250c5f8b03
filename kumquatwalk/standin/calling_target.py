"""Work of a target that makes calls through the node beside it."""

import asyncio
import functools

from kumquatwalk.clock import read_now
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.standin.platform_node import PlatformNode
from kumquatwalk.standin.platform_node import make_body
from kumquatwalk.standin.request_class import CLASSES
from kumquatwalk.standin.request_class import RequestClass
from kumquatwalk.standin.scripted_target import Script
from kumquatwalk.standin.target_client import TargetClient

__all__ = ["CallingTarget"]

# Time limit of a request that names none, in seconds.
_LIMIT_S = 5.0


class CallingTarget:
    """Chooses what the target beside a node does for a request.

    It works for the first half of the time, makes the calls of the request's
    class, then works for the second half. It stops at the time limit.

    Args:
        node: Node beside the target.
        client: Client of that node.
        speed: Speed of the target; 1 for a usual one.
    """

    def __init__(self, node: PlatformNode, client: TargetClient, speed: float):
        self._node = node
        self._client = client
        self._speed = speed
        self._running = 0

    def choose_script(self, request: HttpRequest) -> Script:
        """Return the behaviour that the path ``/ROUTE/WORK_MS/BYTES`` asks for.

        Args:
            request: Request to run.
        """
        _, route, work_ms, size = request.url.decode("ascii").split("/")
        attempt_id = (request.find_header(b"attempt-id") or b"").decode()
        limit_ms = request.find_header(b"deadline-ms")
        limit_s = float(limit_ms) / 1000 if limit_ms else _LIMIT_S
        perform = functools.partial(
            self._perform,
            CLASSES[route],
            int(work_ms) / 1000 / self._speed,
            read_now() + limit_s,
            make_body(attempt_id, int(size)),
        )
        return Script(perform=perform)

    async def _perform(
        self, entry: RequestClass, work_s: float, deadline: float, body: bytes
    ) -> Script:
        status = 504
        self._running += 1
        self._show_load()
        try:
            async with asyncio.timeout(max(0.0, deadline - read_now())):
                status = await self._work(entry, work_s, deadline)
        except TimeoutError:
            pass
        finally:
            self._running -= 1
            self._show_load()
        load = b"Instance-Load: %d,%d,%d" % self._node.target.load
        return Script(status=status, body=body, extra_headers=(load,))

    async def _work(
        self, entry: RequestClass, work_s: float, deadline: float
    ) -> int:
        node = self._node
        await asyncio.sleep(max(0.0, node.silent_until - read_now()))
        await asyncio.sleep(node.work_factor * work_s / 2)
        for route in entry.calls:
            if await self._client.call(route, deadline) != 200:
                return 500
        await asyncio.sleep(node.work_factor * work_s / 2)
        return 200

    def _show_load(self) -> None:
        self._node.target.load = (self._running, 0, self._node.slots)
