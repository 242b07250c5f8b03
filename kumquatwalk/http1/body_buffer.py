"""Parts of a body that is being received."""

__all__ = ["BodyBuffer"]

# Parts below this size are copied into blocks of about this size.
_BLOCK_BYTES = 16 * 1024


class BodyBuffer:
    """Collects the parts of a body in memory near their total size.

    A part of a few bytes takes several times its size as an object of its own.

    Attributes:
        size: Number of bytes collected.
    """

    def __init__(self):
        self._blocks: list[bytes | bytearray] = []
        self.size = 0

    def add(self, part: bytes) -> None:
        """Add a part.

        Args:
            part: Received bytes.
        """
        self.size += len(part)
        if len(part) >= _BLOCK_BYTES:
            self._blocks.append(part)
            return
        last = self._blocks[-1] if self._blocks else b""
        if isinstance(last, bytearray) and len(last) < _BLOCK_BYTES:
            last += part
        else:
            self._blocks.append(bytearray(part))

    def join(self) -> bytes:
        """Return all parts as one object."""
        return b"".join(self._blocks)
