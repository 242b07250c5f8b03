"""Tests of the exchange of one call with the target."""

import asyncio
import dataclasses
import socket
import threading
import time
import unittest
from unittest import mock

from kumquatwalk import codes
from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.daemon.open_runs import DEADLINE_GRACE_S
from kumquatwalk.daemon.open_runs import OpenRuns
from kumquatwalk.daemon.platform_interface import PlatformInterface
from kumquatwalk.daemon.target_exchange import Finding
from kumquatwalk.daemon.target_exchange import run_call
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.tests.test_link_silence import make_call
from kumquatwalk.mesh.tests.test_own_pause import LOOP_FACTORIES
from kumquatwalk.outcome import Outcome
from kumquatwalk.targets.client import TargetClient

ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
    b"Attempt-Id: id-1\r\nServer-Seal: seal\r\n\r\n"
)
# Time from the beginning of a call to its deadline, in seconds.
LEFT_S = 0.3
HANG_S = 20.0


async def pause_in_run(listener: socket.socket) -> Finding:
    """Return what is found of a target that answers in an own pause."""
    has_request = threading.Event()
    must_answer = threading.Event()

    def serve() -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(65536)
            has_request.set()
            must_answer.wait(HANG_S)
            connection.sendall(ANSWER)
            connection.recv(1)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    client = TargetClient(Address(*listener.getsockname()))
    call = dataclasses.replace(make_call(), deadline=read_now() + LEFT_S)
    open_runs = OpenRuns()
    timeout = open_runs.open(call, read_now())
    run = asyncio.create_task(
        run_call(
            client,
            PlatformInterface(),
            "web-1",
            "run-1",
            call,
            timeout,
            call.deadline,
        )
    )
    async with asyncio.timeout(HANG_S):
        while not has_request.is_set():
            await asyncio.sleep(0.001)
    must_answer.set()
    time.sleep(LEFT_S + 2.0 * DEADLINE_GRACE_S)
    result = await run
    open_runs.close(timeout)
    client.close()
    listener.shutdown(socket.SHUT_RDWR)
    # The event loop has to run for the connection to close.
    await asyncio.to_thread(thread.join, HANG_S)
    return result.finding


class TargetExchangeTest(unittest.TestCase):

    # Guards against LOST: a target's answer that had come while the process did
    # not run was dropped, and the target was taken for late.
    def test_answer_that_came_in_a_pause_is_read(self):
        for factory in LOOP_FACTORIES:
            with self.subTest(factory.__module__):
                with socket.create_server(("127.0.0.1", 0)) as listener:
                    with asyncio.Runner(loop_factory=factory) as runner:
                        finding = runner.run(pause_in_run(listener))
                self.assertIs(finding, Finding.SOUND)

    # Guards against 504 for a call that was never sent, as no connection to the
    # target opened by its deadline.
    def test_call_without_a_connection_at_its_deadline_is_not_run(self):
        async def run() -> Reply:
            client = TargetClient(Address("127.0.0.1", 1))
            call = make_call()
            with mock.patch(
                "kumquatwalk.targets.client.open_connection",
                lambda *_, **__: asyncio.sleep(HANG_S),
            ):
                result = await run_call(
                    client,
                    PlatformInterface(),
                    "web-1",
                    "run-1",
                    call,
                    asyncio.timeout(0.05),
                    call.deadline,
                )
            return result.reply

        reply = asyncio.run(run())
        self.assertIs(reply.outcome, Outcome.NOT_RUN)
        self.assertEqual(reply.code, codes.DEADLINE_EXCEEDED)


if __name__ == "__main__":
    unittest.main()
