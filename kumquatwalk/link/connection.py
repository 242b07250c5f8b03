"""A link to a peer, from the side that connects."""

import socket
import time
from typing import Any

from kumquatwalk.exception import FrameError
from kumquatwalk.exception import LinkError
from kumquatwalk.link.call import Call
from kumquatwalk.link.codec import encode_call
from kumquatwalk.link.codec import encode_message
from kumquatwalk.link.hello import Hello
from kumquatwalk.link.identity import Identity
from kumquatwalk.link.partition import Partition
from kumquatwalk.link.peer import Peer
from kumquatwalk.link.running import Running
from kumquatwalk.link.stream import FrameStream
from kumquatwalk.link.stream import tune_socket
from kumquatwalk.link.welcome import Welcome

__all__ = ["LinkConnection", "SILENCE_TIMEOUT_S", "open_connection"]

CONNECT_TIMEOUT_S = 0.5
SILENCE_TIMEOUT_S = 1.0
_US = 1_000_000


class LinkConnection:
    """One connection to a peer; carries one exchange at a time.

    Attributes:
        peer: Address of the peer.
        incarnation: Incarnation that the peer gave when connecting.
        last_used: Monotonic time of the last finished exchange.
    """

    def __init__(
        self,
        peer: Peer,
        stream: FrameStream,
        welcome: Welcome,
        partition: Partition,
        now: float,
    ):
        self.peer = peer
        self.incarnation = welcome.incarnation
        self.last_used = now
        self._stream = stream
        self._partition = partition
        self._clock_offset_us = welcome.clock_us - int(now * _US)

    def estimate_peer_clock(self, at: float) -> int:
        """Return the peer's clock at a time, microseconds; never ahead of it.

        The offset was taken when the peer's answer had arrived, so it errs by
        the time that the answer travelled.
        """
        return int(at * _US) + self._clock_offset_us

    def call(self, call: Call, remaining_us: int, sent_at: float) -> Any:
        """Send an attempt and wait for its reply.

        Args:
            call: The attempt.
            remaining_us: Time left for it when it was first sent, microseconds.
            sent_at: When it was first sent, by this node's clock.

        Raises:
            TimeoutError: As ``exchange``.
            LinkError: As ``exchange``.
        """
        sent_at_us = max(self.estimate_peer_clock(sent_at), 0)
        frame = encode_call(call, max(remaining_us, 0), sent_at_us)
        return self._exchange(frame)

    def exchange(self, message: Any) -> Any:
        """Send a message and wait for its reply.

        Heartbeats of a call in progress are passed over.

        Raises:
            TimeoutError: The link was silent for ``SILENCE_TIMEOUT_S``.
            LinkError: The connection failed; ``sent`` is true.
        """
        return self._exchange(encode_message(message))

    def _exchange(self, frame: bytes) -> Any:
        if self._partition.blocks(self.peer.host):
            time.sleep(SILENCE_TIMEOUT_S)
            raise TimeoutError
        self._stream.send_frame(frame)
        while True:
            reply = self._receive()
            if not isinstance(reply, Running):
                return reply

    def is_stale(self) -> bool:
        """Return whether the peer has closed the idle connection."""
        return self._stream.has_input()

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()

    def _receive(self) -> Any:
        try:
            reply = self._stream.receive()
        except FrameError as error:
            raise LinkError(error.code, error.message, sent=True) from error
        if self._partition.blocks(self.peer.host):
            raise TimeoutError
        if reply is None:
            raise LinkError("link_failed", "closed by the peer", sent=True)
        return reply


def open_connection(
    peer: Peer,
    identity: Identity,
    partition: Partition,
    payload_bytes_max: int,
) -> LinkConnection:
    """Connect to a peer and exchange introductions.

    Args:
        peer: Address to connect to.
        identity: This node; its host is the source address.
        partition: Hosts that are cut off.
        payload_bytes_max: Longest payload accepted from the peer.

    Returns:
        The connection, ready for exchanges.

    Raises:
        LinkError: It could not be made; ``sent`` is false.
    """
    if partition.blocks(peer.host):
        time.sleep(CONNECT_TIMEOUT_S)
        raise LinkError("link_failed", "connect timed out", sent=False)
    try:
        sock = socket.create_connection(
            (peer.host, peer.port),
            timeout=CONNECT_TIMEOUT_S,
            source_address=(identity.host, 0),
        )
    except ConnectionRefusedError as error:
        raise LinkError("link_refused", str(error), sent=False) from error
    except OSError as error:
        raise LinkError("link_failed", str(error), sent=False) from error
    stream = FrameStream(sock, payload_bytes_max)
    try:
        welcome = _introduce(sock, stream, identity)
    except (OSError, LinkError, FrameError) as error:
        stream.close()
        raise LinkError("link_failed", str(error), sent=False) from error
    now = time.monotonic()
    return LinkConnection(peer, stream, welcome, partition, now)


def _introduce(
    sock: socket.socket, stream: FrameStream, identity: Identity
) -> Welcome:
    tune_socket(sock)
    stream.send(Hello(identity.node_id, identity.incarnation, identity.host))
    welcome = stream.receive()
    if not isinstance(welcome, Welcome):
        raise FrameError("frame_unexpected", "the peer did not welcome us")
    sock.settimeout(SILENCE_TIMEOUT_S)
    return welcome
