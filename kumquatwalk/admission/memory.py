"""Admission of requests by the memory for answers."""

from kumquatwalk.http1.byte_budget import ByteBudget

__all__ = ["MemoryAdmission"]

# Answers up to this size are admitted whatever is held, in kilobytes, so that
# slow readers of large answers do not keep all other callers out.
SMALL_ANSWER_KB = 16.0
_KB = 1000


class MemoryAdmission:
    """Decides whether there is memory for the answer to a request.

    An answer of which the expected size is known and large is reserved from the
    admission of its request until the request ends; its connection then holds
    it. The answers of routes without replies are bounded by ``is_short`` only.

    Args:
        answers: Bytes of answers that callers have not taken yet.
        bodies: Bytes of other bodies, among them those of replies received in
            part; None not to count them.
    """

    def __init__(self, answers: ByteBudget, bodies: ByteBudget | None = None):
        self._answers = answers
        self._bodies = bodies
        self._reserved_bytes = 0

    def try_reserve(self, size_kb: float) -> bool:
        """Reserve the answer to a request and return True if there is memory.

        Args:
            size_kb: Expected size of the answer, in kilobytes.
        """
        size = _count_reserved(size_kb)
        if not size:
            return True
        used = self._answers.used + self._reserved_bytes
        if used + size > self._answers.limit:
            self._answers.note_refusal(size)
            return False
        self._reserved_bytes += size
        return True

    def release(self, size_kb: float) -> None:
        """Return what was reserved for an answer.

        Args:
            size_kb: Size given to ``try_reserve``, which has returned True.
        """
        self._reserved_bytes -= _count_reserved(size_kb)

    def is_short(self) -> bool:
        """Return whether links have to read large replies only slowly.

        Answers and other bodies then hold all that they may hold together.
        """
        if self._bodies is None:
            return self._answers.used >= self._answers.limit
        limit = self._answers.limit + self._bodies.limit
        return self._answers.used + self._bodies.used >= limit


def _count_reserved(size_kb: float) -> int:
    return 0 if size_kb <= SMALL_ANSWER_KB else int(size_kb * _KB)
