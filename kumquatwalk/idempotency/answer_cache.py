"""Cache of answers with a limit on their total size."""

import collections
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

__all__ = ["AnswerCache"]

AnswerT = TypeVar("AnswerT")


class AnswerCache(Generic[AnswerT]):
    """Cache of answers by key that evicts the oldest first. Not thread-safe.

    Args:
        measure: Returns the size of an answer in bytes.
        max_bytes: Max total size of the answers, in bytes.

    Example:
        >>> cache = AnswerCache(len, max_bytes=6)
        >>> cache.put("a", b"1234")
        >>> cache.put("b", b"5678")
        >>> cache.get("a"), cache.get("b")
        (None, b'5678')
    """

    def __init__(self, measure: Callable[[AnswerT], int], max_bytes: int):
        self._measure = measure
        self._max_bytes = max_bytes
        self._answers = collections.OrderedDict[Hashable, tuple[AnswerT, int]]()
        self._bytes = 0

    def put(self, key: Hashable, answer: AnswerT) -> None:
        """Store an answer, then evict the oldest ones above the size limit."""
        self.discard(key)
        size = self._measure(answer)
        self._answers[key] = (answer, size)
        self._bytes += size
        while self._bytes > self._max_bytes:
            _, (_, oldest_size) = self._answers.popitem(last=False)
            self._bytes -= oldest_size

    def get(self, key: Hashable) -> AnswerT | None:
        """Return the answer stored under a key; None if there is none."""
        entry = self._answers.get(key)
        return None if entry is None else entry[0]

    def discard(self, key: Hashable) -> None:
        """Remove the answer stored under a key, if any."""
        entry = self._answers.pop(key, None)
        if entry is not None:
            self._bytes -= entry[1]
