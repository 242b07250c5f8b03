"""Parts of a body that is being received."""

__all__ = ["PARTS_MAX", "PART_BYTES_MIN", "BodyBuffer"]

# Parts below this size are copied into blocks of about this size.
_BLOCK_BYTES = 16 * 1024
# Number of parts beyond which their average size counts, and its minimum in
# bytes. A part takes processor time whatever its size.
PARTS_MAX = 10_000
PART_BYTES_MIN = 64


class BodyBuffer:
    """Collects the parts of a body in memory near their total size.

    A part of a few bytes takes several times its size as an object of its own.

    Attributes:
        size: Number of bytes collected.
        parts: Number of parts collected.
    """

    def __init__(self):
        self._blocks: list[bytes | bytearray] = []
        self.parts = 0
        self.size = 0

    @property
    def is_fragmented(self) -> bool:
        """Whether the body has come in too many parts for its size."""
        return (
            self.parts > PARTS_MAX and self.size < PART_BYTES_MIN * self.parts
        )

    def add(self, part: bytes) -> None:
        """Add a part.

        Args:
            part: Received bytes.
        """
        self.size += len(part)
        self.parts += 1
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
