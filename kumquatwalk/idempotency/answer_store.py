"""Answers kept for repeats, bounded in bytes."""

import collections
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

__all__ = ["AnswerStore"]

AnswerT = TypeVar("AnswerT")


class AnswerStore(Generic[AnswerT]):
    """Answers by key; the oldest are dropped first. Not thread-safe.

    Args:
        measure: Returns the size of an answer in bytes.
        max_bytes: Bytes of answers kept at once.

    Example:
        >>> store = AnswerStore(len, max_bytes=6)
        >>> store.put("a", b"1234")
        >>> store.put("b", b"5678")
        >>> store.get("a"), store.get("b")
        (None, b'5678')
    """

    def __init__(self, measure: Callable[[AnswerT], int], max_bytes: int):
        self._measure = measure
        self._max_bytes = max_bytes
        self._answers = collections.OrderedDict[Hashable, tuple[AnswerT, int]]()
        self._bytes = 0

    def put(self, key: Hashable, answer: AnswerT) -> None:
        """Keep an answer, and drop the oldest ones to make room."""
        self.drop(key)
        size = self._measure(answer)
        self._answers[key] = (answer, size)
        self._bytes += size
        while self._bytes > self._max_bytes:
            _, (_, oldest_size) = self._answers.popitem(last=False)
            self._bytes -= oldest_size

    def get(self, key: Hashable) -> AnswerT | None:
        """Return an answer; None when it is not held."""
        held = self._answers.get(key)
        return None if held is None else held[0]

    def drop(self, key: Hashable) -> None:
        """Forget an answer if it is held."""
        held = self._answers.pop(key, None)
        if held is not None:
            self._bytes -= held[1]
