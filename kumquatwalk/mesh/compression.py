"""Compression of the payloads of one link, with a shared dictionary."""

import zlib

from kumquatwalk.exception import FrameError
from kumquatwalk.mesh.codec import FRAME_BYTES_MAX

__all__ = ["PayloadCompressor", "PayloadDecompressor"]

# The fastest level: the repeated data is names and headers, which any level
# finds. Level 6 with a 16 KB window took 4 to 160 us longer per message and did
# not reduce the bytes sent in a day.
COMPRESSION_LEVEL = 1
# A 4 KB window and a small state keep the memory of a link at about 50 KB. The
# window spans several payloads, which is enough.
WINDOW_BITS = -12
MEMORY_LEVEL = 5
# End of every sync flush, which is not transmitted (RFC 7692, section 7.2.1).
_SYNC_FLUSH_TAIL = b"\x00\x00\xff\xff"


class PayloadCompressor:
    """Compresses payloads with raw DEFLATE (RFC 1951).

    The dictionary carries over from one payload to the next.
    """

    def __init__(self):
        self._stream = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL
        )

    def compress(self, payload: bytes) -> bytes:
        """Compress a payload; the results must be sent in order."""
        compressed = self._stream.compress(payload)
        packed = compressed + self._stream.flush(zlib.Z_SYNC_FLUSH)
        return packed.removesuffix(_SYNC_FLUSH_TAIL)


class PayloadDecompressor:
    """Decompresses the payloads of one ``PayloadCompressor``."""

    def __init__(self):
        self._stream = zlib.decompressobj(WINDOW_BITS)

    def decompress(self, data: bytes) -> bytes:
        """Decompress a payload.

        Args:
            data: A compressed payload, in the order in which they were sent.

        Raises:
            FrameError: The data is corrupt or its payload is longer than
                ``FRAME_BYTES_MAX``.
        """
        try:
            payload = self._stream.decompress(
                data + _SYNC_FLUSH_TAIL, FRAME_BYTES_MAX
            )
        except zlib.error as error:
            raise FrameError("frame_malformed", str(error)[:200]) from error
        if self._stream.unconsumed_tail or self._stream.eof:
            raise FrameError(
                "frame_too_long", "decompressed payload exceeds the limit"
            )
        return payload
