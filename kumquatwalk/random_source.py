"""Unguessable random bytes, read from the system in blocks."""

import os

__all__ = ["RandomSource"]

# Bytes read from the system at once: one system call for 256 identifiers of
# 16 bytes. A system call for each was 3% of a node's time in a profile.
BLOCK_BYTES = 4096


class RandomSource:
    """Hands out bytes of the system's random generator, each byte once.

    A source must not be used by two processes that share its memory.
    """

    def __init__(self):
        self._block = b""
        self._used = 0

    def take_bytes(self, size: int) -> bytes:
        """Return random bytes.

        Args:
            size: Number of bytes, at most ``BLOCK_BYTES``.
        """
        start = self._used
        if start + size > len(self._block):
            self._block = os.urandom(BLOCK_BYTES)
            start = 0
        self._used = start + size
        return self._block[start : self._used]

    def take_hex(self, size: int) -> str:
        """Return random bytes as hexadecimal text.

        Args:
            size: Number of bytes, at most ``BLOCK_BYTES``.
        """
        return self.take_bytes(size).hex()
