"""Compression of the payloads of one link, with a shared dictionary."""

import struct
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
# Size from which a payload is sent uncompressed if a sample of it does not get
# shorter, in bytes; size of the sample, and the ratio that counts as shorter.
# Compressing an upload of 60 KB takes about 2 ms at each end.
SAMPLED_BYTES_MIN = 4096
SAMPLE_BYTES = 1024
SAMPLE_RATIO_MAX = 0.9
# Longest block that is stored uncompressed (RFC 1951, section 3.2.4).
_STORED_BYTES_MAX = 0xFFFF
_STORED_HEADER = struct.Struct("<BHH")
# Header of the empty block whose end is not transmitted.
_EMPTY_BLOCK_HEADER = b"\x00"
# End of every sync flush, which is not transmitted (RFC 7692, section 7.2.1).
_SYNC_FLUSH_TAIL = b"\x00\x00\xff\xff"


class PayloadCompressor:
    """Compresses payloads with raw DEFLATE (RFC 1951).

    The dictionary carries over from one payload to the next. A long payload
    that does not compress is sent in stored blocks, which any decompressor
    reads; the dictionary then starts anew.
    """

    def __init__(self):
        self._stream = _make_stream()

    def compress(self, payload: bytes) -> bytes:
        """Compress a payload; the results must be sent in order."""
        if len(payload) >= SAMPLED_BYTES_MIN and not _gets_shorter(payload):
            self._stream = _make_stream()
            return _store(payload)
        compressed = self._stream.compress(payload)
        packed = compressed + self._stream.flush(zlib.Z_SYNC_FLUSH)
        return packed.removesuffix(_SYNC_FLUSH_TAIL)


def _make_stream():
    return zlib.compressobj(
        COMPRESSION_LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL
    )


def _gets_shorter(payload: bytes) -> bool:
    """Return whether a sample from the middle of a payload compresses."""
    start = (len(payload) - SAMPLE_BYTES) // 2
    sample = payload[start : start + SAMPLE_BYTES]
    compressed = zlib.compress(sample, COMPRESSION_LEVEL)
    return len(compressed) < SAMPLE_RATIO_MAX * SAMPLE_BYTES


def _store(payload: bytes) -> bytes:
    """Return a payload in stored blocks of raw DEFLATE."""
    parts = []
    for start in range(0, len(payload), _STORED_BYTES_MAX):
        block = payload[start : start + _STORED_BYTES_MAX]
        size = len(block)
        parts.append(_STORED_HEADER.pack(0, size, size ^ _STORED_BYTES_MAX))
        parts.append(block)
    parts.append(_EMPTY_BLOCK_HEADER)
    return b"".join(parts)


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
