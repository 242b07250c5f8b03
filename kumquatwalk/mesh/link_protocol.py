"""Protocol of one TCP connection between nodes, for both ends."""

import asyncio
import collections
import math
from collections.abc import Callable

from kumquatwalk.clock import read_now
from kumquatwalk.exception import FrameError
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.sockets import count_unread_bytes
from kumquatwalk.http1.sockets import count_untaken_bytes
from kumquatwalk.http1.sockets import end_stream
from kumquatwalk.http1.sockets import set_liveness_options
from kumquatwalk.http1.sockets import shut_down_sending
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level
from kumquatwalk.mesh.codec import FRAME_BYTES_MAX
from kumquatwalk.mesh.codec import FrameReader
from kumquatwalk.mesh.codec import decode
from kumquatwalk.mesh.codec import encode
from kumquatwalk.mesh.codec import make_frame
from kumquatwalk.mesh.compression import PayloadCompressor
from kumquatwalk.mesh.compression import PayloadDecompressor
from kumquatwalk.mesh.message import Message
from kumquatwalk.mesh.partition import Partition

__all__ = ["LinkProtocol"]

# Unsent bytes above which a link counts as congested: the size of several large
# responses.
CONGESTION_THRESHOLD_BYTES = 1024 * 1024
# Unsent bytes up to which they do not count in the budget. Above it the
# transport calls resume_writing once most of them have been sent.
UNCOUNTED_BYTES_MAX = 64 * 1024
# Received bytes, of one frame or of a frame received in part, above which a
# link pauses while memory is short: smaller messages pass.
SMALL_FRAME_BYTES = 16 * 1024
# Time for which a link then pauses, in seconds. It reads one piece after each
# pause, so that neither end takes it for dead and each frame ends.
READ_PAUSE_S = 0.25
# Bytes of decoded messages after which a link pauses, and for how long, in
# seconds. A read of 256 KB may hold a hundred times as much in compressed
# replies, and their receivers count them only some turns of the loop later.
DECODED_BYTES_MAX = 1024 * 1024
DECODE_PAUSE_S = 0.001


class LinkProtocol(asyncio.Protocol):
    """Sends and receives messages; either end may send first.

    A malformed frame aborts the connection. Bytes that wait here count in the
    budget: those not sent yet, if they are many, and those of frames received
    in part.

    Args:
        on_open: Called when the connection is established.
        on_message: Called with each received message.
        on_lost: Called when the connection is closed or lost.
        budget: Bytes of bodies that the process may hold; None not to count.
        is_memory_short: Returns whether large messages are read only slowly.
        first_frame_bytes_max: Maximum payload of the first frame received, in
            bytes; a longer one ends the connection.

    Attributes:
        last_received_at: Time at which data was last received, or at which the
            connection was established, in seconds.
    """

    def __init__(
        self,
        on_open: Callable[["LinkProtocol"], None],
        on_message: Callable[["LinkProtocol", Message], None],
        on_lost: Callable[["LinkProtocol"], None],
        budget: ByteBudget | None = None,
        is_memory_short: Callable[[], bool] = lambda: False,
        first_frame_bytes_max: int = FRAME_BYTES_MAX,
    ):
        self._on_open = on_open
        self._on_message = on_message
        self._on_lost = on_lost
        self._budget = budget
        self._is_memory_short = is_memory_short
        self._read_timer: asyncio.TimerHandle | None = None
        self._counted_bytes = 0
        self._frame_reader = FrameReader(first_frame_bytes_max)
        # Payloads of complete frames that are not decoded yet.
        self._payloads: collections.deque[bytes] = collections.deque()
        self._compressor: PayloadCompressor | None = None
        self._decompressor: PayloadDecompressor | None = None
        self._transport: asyncio.Transport | None = None
        self._partition: Partition | None = None
        self._peer_host = ""
        self._is_partitioned = False
        self._held_frames: list[bytes] = []
        self._is_ended = False
        # Positions in the stream of sent bytes.
        self._end = 0
        self._replies_end = 0
        # Position up to which bytes may have left this process; None until the
        # connection ends.
        self._left_end: int | None = None
        self.last_received_at = read_now()

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def end(self) -> int:
        """Position of the end of the last message in the stream."""
        return self._end

    def may_have_left(self, end: int) -> bool:
        """Return whether a message may have left this process in full.

        Args:
            end: Position of its end in the stream.
        """
        return self._left_end is None or end <= self._left_end

    def _note_left_end(self, unsent_bytes: int) -> None:
        if self._left_end is None:
            held_bytes = sum(map(len, self._held_frames))
            self._left_end = self._end - held_bytes - unsent_bytes

    @property
    def has_untaken_reply(self) -> bool:
        """Whether the peer has yet to acknowledge bytes of a reply.

        It is False once the connection is closed. What was sent after the last
        reply does not count, but for the end of the stream, which counts as a
        byte of it.
        """
        if not self.is_open or not self._replies_end:
            return False
        untaken = count_untaken_bytes(self._transport)
        untaken += sum(map(len, self._held_frames))
        return self._end - untaken < self._replies_end

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes of the peer have come that this process has not read.

        They are not there for long unless the process was not scheduled or
        reads slowly.
        """
        if self._payloads:
            return True
        return (
            self.is_open
            and not self._is_partitioned
            and count_unread_bytes(self._transport) > 0
        )

    @property
    def is_paused(self) -> bool:
        """Whether it reads large messages only slowly, as memory is short."""
        return self._read_timer is not None

    @property
    def is_congested(self) -> bool:
        """Whether the connection is closed or its write buffer is too full."""
        transport = self._transport
        return (
            transport is None
            or transport.is_closing()
            or transport.get_write_buffer_size() > CONGESTION_THRESHOLD_BYTES
        )

    def enable_compression(self) -> None:
        """Compress all further messages, in both directions.

        Both ends must call it right after the handshake: the first message of
        each end is the only uncompressed one.
        """
        self._compressor = PayloadCompressor()
        self._decompressor = PayloadDecompressor()

    def attach_partition(self, partition: Partition, peer_host: str) -> None:
        """Delay traffic in both directions while a partition blocks the peer.

        Args:
            partition: Simulated network partition of this node.
            peer_host: IP address of the peer.
        """
        self._partition = partition
        self._peer_host = peer_host
        partition.add_listener(self._apply_partition)
        self._apply_partition()

    def send(self, message: Message) -> None:
        """Send a message; does nothing if the connection is closed.

        Args:
            message: The message.
        """
        if self.is_open:
            self.send_payload(encode(message))

    def send_reply(self, message: Message) -> None:
        """Send a message that is owed to the peer until it has taken it.

        Does nothing if the connection is closed or its stream has ended.

        Args:
            message: The message.
        """
        if self.is_open and not self._is_ended:
            self.send(message)
            self._replies_end = self._end

    def send_payload(self, payload: bytes) -> None:
        """Send an encoded message.

        Does nothing if the connection is closed or its stream has ended.

        Args:
            payload: The message, as ``encode`` returns it.
        """
        if not self.is_open or self._is_ended:
            return
        if self._compressor is not None:
            payload = self._compressor.compress(payload)
        frame = make_frame(payload)
        self._end += len(frame)
        if self._is_partitioned:
            self._held_frames.append(frame)
        else:
            self._transport.write(frame)
        self._count_bytes()

    def close_sending(self) -> None:
        """Send all unsent bytes, then the end of the stream; go on reading.

        An end that is closed while it has unread bytes is reset, and the peer
        would lose what it has not received.
        """
        if self.is_open and self._transport.can_write_eof():
            self._is_ended = True
            if not self._is_partitioned:
                end_stream(self._transport)

    def abort(self) -> None:
        """Close the connection immediately and discard unsent bytes."""
        if self._transport is not None:
            if self.is_open:
                unsent = 0
                if shut_down_sending(self._transport):
                    unsent = self._transport.get_write_buffer_size()
                self._note_left_end(unsent)
            self._transport.abort()

    def _apply_partition(self) -> None:
        is_partitioned = self._partition.blocks(self._peer_host)
        if is_partitioned == self._is_partitioned or not self.is_open:
            return
        self._is_partitioned = is_partitioned
        if is_partitioned:
            self._transport.pause_reading()
            return
        for frame in self._held_frames:
            self._transport.write(frame)
        self._held_frames.clear()
        if self._is_ended:
            end_stream(self._transport)
        if self._read_timer is None:
            self._transport.resume_reading()
        self._count_bytes()

    def _pause_reading(self, pause_s: float) -> None:
        if self._read_timer is None and self.is_open:
            self._transport.pause_reading()
            loop = asyncio.get_running_loop()
            self._read_timer = loop.call_later(pause_s, self._resume_reading)

    def _resume_reading(self) -> None:
        self._read_timer = None
        if self._payloads:
            self.last_received_at = read_now()
            self._handle_payloads()
        is_paused = self._read_timer is not None or self._is_partitioned
        if self.is_open and not is_paused:
            self._transport.resume_reading()

    def _count_bytes(self) -> None:
        """Count what waits here at present; nothing once it is closed."""
        if self._budget is None:
            return
        size = 0
        if self.is_open:
            size = self._transport.get_write_buffer_size()
            if size <= UNCOUNTED_BYTES_MAX:
                size = 0
            size += sum(map(len, self._held_frames))
            size += self._frame_reader.pending_bytes
            size += sum(map(len, self._payloads))
        if size > self._counted_bytes:
            self._budget.hold(size - self._counted_bytes)
        else:
            self._budget.release(self._counted_bytes - size)
        self._counted_bytes = size

    # Methods of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and report the connection as open."""
        self._transport = transport
        transport.set_write_buffer_limits(high=UNCOUNTED_BYTES_MAX)
        self.last_received_at = read_now()
        # The status of one end comes each second; it shows the other end a dead
        # link by its silence, and its sender by the missing acknowledgement.
        set_liveness_options(transport, has_keepalive=False)
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Decode received frames and pass on their messages."""
        self.last_received_at = read_now()
        try:
            self._payloads.extend(self._frame_reader.feed(data))
        except FrameError as error:
            self._reject(error)
        if self._read_timer is None:
            self._handle_payloads()

    def _handle_payloads(self) -> None:
        """Pass on messages, and pause when they or memory ask for it."""
        largest = self._decode_payloads(DECODED_BYTES_MAX)
        self._count_bytes()
        largest = max(largest, self._frame_reader.pending_bytes)
        if largest > SMALL_FRAME_BYTES and self._is_memory_short():
            self._pause_reading(READ_PAUSE_S)
        elif self._payloads:
            self._pause_reading(DECODE_PAUSE_S)

    def _decode_payloads(self, size_max: float) -> int:
        """Pass on messages; return the size of the largest.

        Args:
            size_max: Bytes after which the others wait, if the link is open.
        """
        largest = decoded = 0
        try:
            while self._payloads and (decoded < size_max or not self.is_open):
                payload = self._payloads.popleft()
                if self._decompressor is not None:
                    payload = self._decompressor.decompress(payload)
                largest = max(largest, len(payload))
                decoded += len(payload)
                self._on_message(self, decode(payload))
        except FrameError as error:
            # What follows cannot be read without it.
            self._payloads.clear()
            self._reject(error)
        return largest

    def _reject(self, error: FrameError) -> None:
        log_event(
            "link_frame_rejected",
            Level.WARNING,
            code=error.code,
            error=error.message,
        )
        self.abort()

    def resume_writing(self) -> None:
        """Stop counting the bytes that have been sent."""
        self._count_bytes()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the connection as lost."""
        del exc
        # The transport does not tell what it had not sent.
        self._note_left_end(0)
        if self._read_timer is not None:
            self._read_timer.cancel()
            self._read_timer = None
        self._decode_payloads(math.inf)
        self._count_bytes()
        if self._partition is not None:
            self._partition.remove_listener(self._apply_partition)
        self._on_lost(self)
