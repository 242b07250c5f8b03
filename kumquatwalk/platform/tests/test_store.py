"""Tests of the asynchronous store client with the stand-in store."""

import asyncio
import base64
import json
import socket
import threading
import time
import unittest

import uvloop

from kumquatwalk.address import Address
from kumquatwalk.exception import CompareFailedError
from kumquatwalk.exception import HistoryLostError
from kumquatwalk.exception import LeaseLostError
from kumquatwalk.exception import PlatformError
from kumquatwalk.exception import PlatformUnavailableError
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.platform.store_items import Deletion
from kumquatwalk.platform.store_items import Put
from kumquatwalk.platform.store_items import StoreItem
from kumquatwalk.platform.store import StoreClient
from kumquatwalk.platform.store_position import ABSENT
from kumquatwalk.standin.kv_store import KvStore

# Time limit of a call, in seconds.
TIMEOUT_S = 0.3
HANG_S = 20.0
# Pages after which a list counts as read without end.
PAGES_MAX = 100
ABSENT_ANSWER = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


class EndlessStoreClient(StoreClient):
    """Client of a store whose list of items has no end."""

    async def _call(self, method, path, document=None, wait_s=0.0):
        self.call_count += 1
        if self.call_count > PAGES_MAX:
            raise AssertionError("read without end")
        value = base64.b64encode(bytes(1_000_000)).decode()
        item = {"key": f"k{self.call_count:09}", "value": value, "revision": 1}
        page = {"items": [item], "at": 1, "hasMore": True}
        return HttpResponse(200, (), json.dumps(page).encode())


class StoreClientTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.store = KvStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.client = StoreClient(self.store.address, 2.0)
        self.addCleanup(self.client.close)

    async def test_item_is_read_as_it_was_written(self):
        revision = await self.client.commit([Put("a/b", b"\x00\xff")])
        item = await self.client.get("a/b")
        self.assertEqual((item.value, item.position), (b"\x00\xff", revision))
        self.assertIsNone(await self.client.get("a/c"))

    # Guards against FAULT: pages without end took all of the memory.
    async def test_list_without_end_is_refused(self):
        client = EndlessStoreClient(self.store.address, 2.0)
        with self.assertRaises(PlatformError) as caught:
            await client.list_items("k")
        self.assertEqual(caught.exception.code, "snapshot_too_long")

    async def test_transaction_is_all_or_nothing(self):
        await self.client.commit([Put("a", b"1")])
        with self.assertRaises(CompareFailedError):
            await self.client.commit(
                [Put("a", b"2"), Put("b", b"2")], expected={"a": ABSENT}
            )
        self.assertEqual((await self.client.get("a")).value, b"1")
        self.assertIsNone(await self.client.get("b"))

    async def test_watch_reports_writes_and_deletions_in_order(self):
        snapshot = await self.client.list_items("a/")
        await self.client.commit([Put("a/1", b"x"), Put("b/1", b"y")])
        await self.client.commit(deletions=["a/1"])
        watched = await self.client.watch("a/", snapshot.position, 1.0)
        self.assertEqual([e.key for e in watched.events], ["a/1", "a/1"])
        self.assertIsInstance(watched.events[1], Deletion)

    async def test_watch_returns_when_a_key_changes(self):
        snapshot = await self.client.list_items("a/")
        task = asyncio.create_task(
            self.client.watch("a/", snapshot.position, 20.0)
        )
        await asyncio.sleep(0.05)
        self.store.put("a/1", b"x")
        watched = await asyncio.wait_for(task, 5)
        self.assertEqual(watched.events[0].value, b"x")

    async def test_dropped_history_is_reported(self):
        snapshot = await self.client.list_items("a/")
        self.store.put("a/1", b"x")
        self.store.compact_history()
        with self.assertRaises(HistoryLostError):
            await self.client.watch("a/", snapshot.position, 1.0)

    async def test_ended_lease_is_reported(self):
        lease = await self.client.grant_lease(5.0)
        await self.client.commit([Put("a", b"1", lease)])
        await self.client.renew_lease(lease)
        self.store.expire_lease(lease.number)
        self.assertIsNone(await self.client.get("a"))
        with self.assertRaises(LeaseLostError):
            await self.client.renew_lease(lease)
        with self.assertRaises(LeaseLostError):
            await self.client.commit([Put("a", b"1", lease)])

    async def test_unavailable_store_is_reported(self):
        self.store.is_down = True
        with self.assertRaises(PlatformUnavailableError):
            await self.client.get("a")
        absent = StoreClient(Address("127.0.0.1", 1), 1.0)
        with self.assertRaises(PlatformUnavailableError):
            await absent.get("a")


def serve_once(
    listener: socket.socket,
    has_request: threading.Event,
    must_answer: threading.Event,
    answer: bytes = ABSENT_ANSWER,
) -> None:
    """Answer one call, whatever it asks, when told to."""
    connection, _ = listener.accept()
    with connection:
        connection.recv(65536)
        has_request.set()
        must_answer.wait(HANG_S)
        connection.sendall(answer)
        connection.recv(1)


async def read_in_pause(listener: socket.socket) -> StoreItem | None:
    """Read a key that does not exist, while the own process pauses."""
    has_request, must_answer = threading.Event(), threading.Event()
    thread = threading.Thread(
        target=serve_once,
        args=(listener, has_request, must_answer),
        daemon=True,
    )
    thread.start()
    client = StoreClient(Address(*listener.getsockname()), TIMEOUT_S)
    reading = asyncio.create_task(client.get("a"))
    async with asyncio.timeout(HANG_S):
        while not has_request.is_set():
            await asyncio.sleep(0.001)
    must_answer.set()
    time.sleep(TIMEOUT_S + 0.1)
    try:
        return await reading
    finally:
        client.close()
        # The event loop has to run for the connection to close.
        await asyncio.to_thread(thread.join, HANG_S)


class OwnPauseTest(unittest.TestCase):

    def check(self, loop_factory):
        """Check that a value is read whose answer came in a pause."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            with asyncio.Runner(loop_factory=loop_factory) as runner:
                item = runner.run(read_in_pause(listener))
        self.assertIsNone(item)

    # Guards against writes whose outcome counts as unknown, and a store that
    # counts as lost, as the own process was not scheduled.
    def test_answer_that_came_in_a_pause_is_read(self):
        self.check(asyncio.new_event_loop)

    # Guards against the same on uvloop.
    def test_answer_that_came_in_a_pause_is_read_by_uvloop(self):
        self.check(uvloop.new_event_loop)


if __name__ == "__main__":
    unittest.main()
