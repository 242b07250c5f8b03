"""Caller on the platform's interface that keeps its connection."""

import asyncio
import collections
import os

from benchmarks.http_caller import read_response
from kumquatwalk.address import Address

__all__ = ["KeptCaller"]


class KeptCaller:
    """Sends GET requests one after the other on one connection.

    Args:
        address: Caller listener of a node.
        path: Path of the requests.
    """

    def __init__(self, address: Address, path: bytes):
        self._address = address
        self._path = path
        self.statuses: collections.Counter[int] = collections.Counter()

    async def run(self, requests: int) -> None:
        """Send requests and count their answers by status.

        Args:
            requests: Number of requests.
        """
        reader, writer = await asyncio.open_connection(
            self._address.host, self._address.port
        )
        for _ in range(requests):
            writer.write(
                b"GET %b HTTP/1.1\r\nHost: shop.example\r\n"
                b"Attempt-Id: %b\r\nDeadline-Ms: 4000\r\n"
                b"Accept: */*\r\nUser-Agent: benchmark\r\n\r\n"
                % (self._path, os.urandom(8).hex().encode())
            )
            response, _ = await read_response(reader)
            self.statuses[response.status] += 1
        writer.close()
