"""Proxy in front of a node's listener for links, with faults."""

import asyncio
import dataclasses
import socket
import struct
from collections.abc import Iterator

from kumquatwalk.address import Address
from kumquatwalk.exception import FrameError
from kumquatwalk.mesh.codec import FrameReader
from kumquatwalk.mesh.codec import decode
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.schema import load_schema
from kumquatwalk.standin.link_faults import LinkFaults
from kumquatwalk.standin.link_pipe import LinkPipe

__all__ = ["LinkProxy"]

_READ_BYTES = 65536
_RESET = struct.pack("ii", 1, 0)


@dataclasses.dataclass(eq=False, slots=True)
class _Connection:
    """Connection of a node and the one that the proxy opened for it."""

    peer: str
    call_pipe: LinkPipe
    reply_pipe: LinkPipe
    writers: tuple[asyncio.StreamWriter, ...]

    def set_faults(self, faults: LinkFaults) -> None:
        self.call_pipe.delay_s = self.reply_pipe.delay_s = faults.delay_s
        self.call_pipe.set_silent(faults.holds_calls)
        self.reply_pipe.set_silent(faults.holds_replies)

    def reset(self) -> None:
        for writer in self.writers:
            _reset(writer)


class LinkProxy:
    """Accepts links in place of one node and forwards them to it.

    The node that opened a link is known by its first message.

    Args:
        address: Address that the node announces.
        target: Address at which the node accepts links.

    Attributes:
        address: Address that the node announces.
    """

    def __init__(self, address: Address, target: Address):
        load_schema()
        self.address = address
        self._target = target
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._faults: dict[str, LinkFaults] = {}

    async def start(self) -> None:
        """Start to accept links."""
        self._server = await asyncio.start_server(
            self._serve, self.address.host, self.address.port, backlog=1024
        )

    async def close(self) -> None:
        """Stop accepting links and reset all of them."""
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_faults(self, peer: str, faults: LinkFaults) -> None:
        """Set the faults of the present and the next links of a node.

        Links that were silenced for good stay so.

        Args:
            peer: Name of the node that opens the links.
            faults: Its faults from now on.
        """
        self._faults[peer] = faults
        for connection in self._list(peer):
            connection.set_faults(faults)

    def silence(self, peer: str) -> None:
        """Silence the present links of a node for good; new ones work.

        Args:
            peer: Name of the node that opened the links.
        """
        for connection in self._list(peer):
            connection.set_faults(
                LinkFaults(holds_calls=True, holds_replies=True)
            )
            connection.peer = ""

    def reset(self, peer: str) -> None:
        """Reset the present links of a node, at both ends.

        Args:
            peer: Name of the node that opened the links.
        """
        for connection in self._list(peer):
            connection.reset()

    def _list(self, peer: str) -> Iterator[_Connection]:
        return (c for c in tuple(self._connections) if c.peer == peer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        writers = [writer]
        try:
            first, peer = await _read_hello(reader)
            far_reader, far_writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
            writers.append(far_writer)
            connection = _Connection(
                peer,
                LinkPipe(reader, far_writer),
                LinkPipe(far_reader, writer),
                tuple(writers),
            )
            await self._forward(connection, first)
        except (OSError, FrameError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            for each in writers:
                _reset(each)

    async def _forward(self, connection: _Connection, first: bytes) -> None:
        connection.set_faults(self._faults.get(connection.peer, LinkFaults()))
        self._connections.add(connection)
        pipes = [
            asyncio.create_task(connection.call_pipe.run(first)),
            asyncio.create_task(connection.reply_pipe.run()),
        ]
        try:
            await asyncio.gather(*pipes)
        finally:
            self._connections.discard(connection)
            for pipe in pipes:
                pipe.cancel()


async def _read_hello(reader: asyncio.StreamReader) -> tuple[bytes, str]:
    """Return the bytes read and the name of the node that sent them."""
    frames, received = FrameReader(), b""
    while data := await reader.read(_READ_BYTES):
        received += data
        for payload in frames.feed(data):
            message = decode(payload)
            return received, (
                message.node_id if isinstance(message, Hello) else ""
            )
    raise ConnectionResetError


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, as an end that has failed does."""
    if writer.transport.is_closing():
        return
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()
