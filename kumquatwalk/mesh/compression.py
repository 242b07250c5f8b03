"""Compression of the payloads of one link, each with those before it."""

import zlib

from kumquatwalk.exception import FrameError
from kumquatwalk.mesh.codec import FRAME_BYTES_MAX

__all__ = ["PayloadCompressor", "PayloadDecompressor"]

# Fastest level: what repeats is names and headers, which any level finds.
LEVEL = 1
# Window of 4 KB and a small state, so that a link takes about 50 KB of memory:
# several payloads back is enough.
WINDOW_BITS = -12
MEMORY_LEVEL = 5


class PayloadCompressor:
    """Raw DEFLATE (RFC 1951) with one dictionary for the whole link."""

    def __init__(self):
        self._stream = zlib.compressobj(
            LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL
        )

    def compress(self, payload: bytes) -> bytes:
        """Return a payload compressed; payloads must be sent in order.

        Args:
            payload: The payload.
        """
        head = self._stream.compress(payload)
        return head + self._stream.flush(zlib.Z_SYNC_FLUSH)


class PayloadDecompressor:
    """The other end of a ``PayloadCompressor``."""

    def __init__(self):
        self._stream = zlib.decompressobj(WINDOW_BITS)

    def decompress(self, data: bytes) -> bytes:
        """Return the payload.

        Args:
            data: A compressed payload, in the order of sending.

        Raises:
            FrameError: It is damaged or too long.
        """
        try:
            payload = self._stream.decompress(data, FRAME_BYTES_MAX)
        except zlib.error as error:
            raise FrameError("frame_malformed", str(error)[:200]) from error
        if self._stream.unconsumed_tail or self._stream.eof:
            raise FrameError("frame_too_long", "over the limit when unpacked")
        return payload
