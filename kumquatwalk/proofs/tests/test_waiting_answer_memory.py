"""Test that answers which wait for slow callers stay within the memory."""

import asyncio
import pathlib
import socket
import unittest

from kumquatwalk.proofs.tests.platform_case import PlatformCase

# Settings of the fleet: the platform kills a process above it.
MEMORY_KB_MAX = 300 * 1024
CALLERS = 40
ANSWER_BYTES = 10_000_000
# Time in which all answers or refusals have come, in seconds.
LOAD_S = 7.0


class WaitingAnswerMemoryTest(PlatformCase):

    async def send(self, name: str, attempt_id: str) -> None:
        """Send a request and read nothing of its answer."""
        listener = self.fleet.nodes[name].listeners["outbound"]
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (listener.host, listener.port))
        head = (
            f"GET /look/300/{ANSWER_BYTES} HTTP/1.1\r\nHost: shop.example\r\n"
            f"Attempt-Id: {attempt_id}\r\nDeadline-Ms: 5000\r\n\r\n"
        )
        await loop.sock_sendall(sock, head.encode())

    def read_peak_kb(self, name: str) -> int:
        """Return the largest resident size of a daemon, in kilobytes."""
        status = pathlib.Path(f"/proc/{self.fleet.nodes[name].pid}/status")
        for line in status.read_text(encoding="ascii").splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
        raise ValueError("no VmHWM")

    # Guards against LOST: the answers of a burst, all from other nodes, took
    # the callers' node over its memory, where the platform kills it.
    async def test_burst_of_answers_from_peers_stays_within_the_memory(self):
        sends = (self.send("n2", f"burst-{n}") for n in range(CALLERS))
        await asyncio.gather(*sends)
        await asyncio.sleep(LOAD_S)
        peaks = {name: self.read_peak_kb(name) for name in self.fleet.nodes}
        self.assertLess(max(peaks.values()), MEMORY_KB_MAX, peaks)


if __name__ == "__main__":
    unittest.main()
