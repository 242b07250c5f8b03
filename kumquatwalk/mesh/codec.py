"""Codec of messages between nodes: length-prefixed Cap'n Proto frames."""

import struct

from kumquatwalk.exception import FrameError
from kumquatwalk.mesh.decoder import read_frame
from kumquatwalk.mesh.encoder import write_frame
from kumquatwalk.mesh.message import Message
from kumquatwalk.mesh.schema import load_schema

__all__ = [
    "FRAME_BYTES_MAX",
    "FrameReader",
    "decode",
    "encode",
    "make_frame",
]

# Maximum payload of a frame, in bytes: the largest body plus its headers.
FRAME_BYTES_MAX = 72 * 1024 * 1024
# Cap'n Proto traversal limit, in 8-byte words; more than the longest frame has.
_TRAVERSAL_WORDS_MAX = FRAME_BYTES_MAX
_LENGTH_PREFIX = struct.Struct("!I")


def encode(message: Message) -> bytes:
    """Encode a message as the payload of a frame.

    Args:
        message: The message.

    Raises:
        TypeError: The object is not a message.
    """
    frame = load_schema().Frame.new_message()
    write_frame(message, frame)
    return frame.to_bytes()


def make_frame(payload: bytes) -> bytes:
    """Prefix a payload with its length, a 32-bit big-endian integer."""
    return _LENGTH_PREFIX.pack(len(payload)) + payload


def decode(payload: bytes) -> Message:
    """Decode a message from the payload of a frame.

    Args:
        payload: The frame without its length prefix.

    Raises:
        FrameError: The payload is malformed or of another protocol version.
    """
    # The packed encoding is not used because its reader terminates the process
    # on a truncated payload.
    try:
        with load_schema().Frame.from_bytes(
            payload, traversal_limit_in_words=_TRAVERSAL_WORDS_MAX
        ) as frame:
            return read_frame(frame)
    except FrameError:
        raise
    except Exception as error:
        # pycapnp raises several types, some of them its own.
        raise FrameError("frame_malformed", str(error)[:200]) from error


class FrameReader:
    """Splits a byte stream into the payloads of its frames.

    Args:
        first_bytes_max: Maximum payload of the first frame, in bytes.
    """

    def __init__(self, first_bytes_max: int = FRAME_BYTES_MAX):
        self._buffer = bytearray()
        self._bytes_max = first_bytes_max

    @property
    def pending_bytes(self) -> int:
        """Number of bytes of a frame that has been received in part."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the payloads now complete.

        Args:
            data: Received bytes.

        Raises:
            FrameError: A payload is longer than ``FRAME_BYTES_MAX``, or the
                first one than its maximum.
        """
        buffer = self._buffer
        buffer += data
        frames = []
        start = 0
        while len(buffer) - start >= _LENGTH_PREFIX.size:
            (size,) = _LENGTH_PREFIX.unpack_from(buffer, start)
            if size > self._bytes_max:
                raise FrameError(
                    "frame_too_long", f"frame of {size} bytes exceeds the limit"
                )
            end = start + _LENGTH_PREFIX.size + size
            if len(buffer) < end:
                break
            with memoryview(buffer) as view:
                frames.append(bytes(view[start + _LENGTH_PREFIX.size : end]))
            start = end
            self._bytes_max = FRAME_BYTES_MAX
        del buffer[:start]
        return frames
