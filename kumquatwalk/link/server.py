"""Listener for links from other nodes."""

import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from kumquatwalk.exception import FrameError
from kumquatwalk.exception import LinkError
from kumquatwalk.link.codec import encode_message
from kumquatwalk.link.hello import Hello
from kumquatwalk.link.hello import PROTOCOL_VERSION
from kumquatwalk.link.identity import Identity
from kumquatwalk.link.partition import Partition
from kumquatwalk.link.reply import Reply
from kumquatwalk.link.session import Session
from kumquatwalk.link.session import read_clock_us
from kumquatwalk.link.stream import FrameStream
from kumquatwalk.link.stream import tune_socket
from kumquatwalk.link.welcome import Welcome
from kumquatwalk.logs import Level
from kumquatwalk.logs import log_event
from kumquatwalk.outcome import Outcome

__all__ = ["LinkServer"]

_HEARTBEAT_S = 0.25
_HELLO_TIMEOUT_S = 2.0
_BACKLOG = 512
_DRAIN_POLL_S = 0.01
_FAULT = Reply(Outcome.UNKNOWN, "internal_error", 504)


class LinkServer:
    """Accepts links and serves each on a thread of its own.

    Args:
        identity: This node.
        port: TCP port; 0 lets the system choose.
        handler: Called with each message; returns the reply.
        on_error: Called with a peer's host and the error when a peer sends a
            malformed frame.
        partition: Hosts that are cut off.
        payload_bytes_max: Longest payload accepted.
        sessions_max: Links served at once; more are closed at once.
    """

    def __init__(
        self,
        identity: Identity,
        port: int,
        handler: Callable[[Any], Any],
        on_error: Callable[[str, FrameError], None],
        partition: Partition,
        payload_bytes_max: int,
        sessions_max: int,
    ):
        self._identity = identity
        self._handler = handler
        self._on_error = on_error
        self._partition = partition
        self._payload_bytes_max = payload_bytes_max
        self._sessions_max = sessions_max
        self._sessions: set[Session] = set()
        self._lock = threading.Lock()
        self._is_closed = threading.Event()
        self._listener = socket.create_server(
            (identity.host, port), backlog=_BACKLOG
        )
        self.port = self._listener.getsockname()[1]

    def start(self) -> None:
        """Start accepting links."""
        for name, target in (("accept", self._accept), ("beat", self._beat)):
            thread = threading.Thread(
                target=target, name=f"link-{name}", daemon=True
            )
            thread.start()

    def drain(self, deadline: float) -> None:
        """Wait until no link has an exchange in progress.

        Args:
            deadline: Monotonic time after which to give up.
        """
        while self.count_busy() and time.monotonic() < deadline:
            time.sleep(_DRAIN_POLL_S)

    def close(self) -> None:
        """Stop accepting and close all links."""
        self._is_closed.set()
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._listener.close()
        for session in self._list_sessions():
            session.close()

    def count_busy(self) -> int:
        """Return the number of links with an exchange in progress."""
        return sum(session.is_busy for session in self._list_sessions())

    def _list_sessions(self) -> list[Session]:
        with self._lock:
            return list(self._sessions)

    def _accept(self) -> None:
        while not self._is_closed.is_set():
            try:
                sock, address = self._listener.accept()
            except OSError:
                continue
            is_full = len(self._sessions) >= self._sessions_max
            if is_full or self._partition.blocks(address[0]):
                sock.close()
                continue
            thread = threading.Thread(
                target=self._serve, args=(sock,), name="link", daemon=True
            )
            thread.start()

    def _serve(self, sock: socket.socket) -> None:
        host = "unknown"
        try:
            host = sock.getpeername()[0]
            session = self._welcome(sock)
        except (OSError, LinkError):
            sock.close()
            return
        except FrameError as error:
            sock.close()
            self._on_error(host, error)
            return
        with self._lock:
            self._sessions.add(session)
        try:
            self._serve_session(session)
        except FrameError as error:
            self._on_error(host, error)
        except (OSError, LinkError):
            pass
        finally:
            session.close()
            with self._lock:
                self._sessions.discard(session)

    def _welcome(self, sock: socket.socket) -> Session:
        tune_socket(sock)
        sock.settimeout(_HELLO_TIMEOUT_S)
        stream = FrameStream(sock, self._payload_bytes_max)
        hello = stream.receive()
        if not isinstance(hello, Hello):
            raise FrameError("frame_unexpected", "the peer did not say hello")
        if hello.protocol != PROTOCOL_VERSION:
            raise FrameError(
                "frame_version", f"protocol {hello.protocol} is not spoken"
            )
        identity = self._identity
        stream.send(
            Welcome(identity.node_id, identity.incarnation, read_clock_us())
        )
        sock.settimeout(None)
        return Session(stream, hello.node_id, hello.host)

    def _serve_session(self, session: Session) -> None:
        while True:
            message = session.receive()
            if message is None:
                return
            if self._partition.blocks(session.peer_host):
                continue
            session.begin(time.monotonic())
            frame = self._make_reply(message)
            if self._partition.blocks(session.peer_host):
                continue
            session.reply(frame)

    def _make_reply(self, message: Any) -> bytes:
        """Return the encoded reply; a fault of ours is answered as unknown."""
        try:
            return encode_message(self._handler(message))
        except FrameError:
            raise
        except Exception as error:  # pylint: disable=broad-exception-caught
            log_event("handler_failed", Level.ERROR, error=repr(error))
            return encode_message(_FAULT)

    def _beat(self) -> None:
        while not self._is_closed.wait(_HEARTBEAT_S):
            now = time.monotonic()
            for session in self._list_sessions():
                if self._partition.blocks(session.peer_host):
                    continue
                try:
                    session.beat(now, _HEARTBEAT_S)
                except LinkError:
                    session.close()
