"""HTTP client on a plain socket, to add little time to what it measures."""

import socket

__all__ = ["RawCaller"]

_TIMEOUT_S = 10.0
_HEAD_END = b"\r\n\r\n"
_READ_BYTES = 65536


class RawCaller:
    """Client that sends the same request on one persistent connection.

    Args:
        address: Address of the server, ``host:port``.
        path: Path of the URL.
        body: Body of each request.
    """

    def __init__(self, address: str, path: str, body: bytes):
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._request = (
            f"POST {path} HTTP/1.1\r\nHost: {address}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        self._socket: socket.socket | None = None

    def start(self) -> None:
        """Connect to the server."""
        self._socket = socket.create_connection(self._address, _TIMEOUT_S)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self) -> int:
        """Send the request, read the full response and return its status."""
        self._socket.sendall(self._request)
        data = self._receive(b"")
        while _HEAD_END not in data:
            data = self._receive(data)
        head, _, body = data.partition(_HEAD_END)
        length = _find_length(head)
        while len(body) < length:
            body = self._receive(body)
        return int(head.split(b" ", 2)[1])

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()

    def _receive(self, data: bytes) -> bytes:
        chunk = self._socket.recv(_READ_BYTES)
        if not chunk:
            raise ConnectionError(
                "connection closed before the response was complete"
            )
        return data + chunk


def _find_length(head: bytes) -> int:
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0
