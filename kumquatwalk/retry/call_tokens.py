"""Retry tokens of one call, over all of its attempts."""

from kumquatwalk.retry.tokens import TokenPool

__all__ = ["CallTokens"]


class CallTokens:
    """Holds one call's part of the retry tokens of its run.

    Each attempt takes all tokens of the call, and its reply returns those
    that it has not spent. Not thread-safe: only the thread that makes the call
    may use it. For each attempt, call ``send`` and then the ``record_`` method
    of its result; call ``spend`` before a retry, and ``close`` at the end.

    Args:
        pool: Tokens of the run, from which the call takes its part.

    Example:
        >>> pool = TokenPool(3)
        >>> tokens = CallTokens(pool)
        >>> tokens.send()
        2
        >>> tokens.record_reply(2)
        >>> tokens.spend()
        True
        >>> tokens.close()
        >>> pool.left
        2
    """

    def __init__(self, pool: TokenPool):
        self._pool = pool
        self._tokens = pool.take_for_call()
        self._sent = 0

    @property
    def available(self) -> int:
        """Tokens for a retry: the call's own or, without any, its run's."""
        return self._tokens or self._pool.left

    def send(self) -> int:
        """Move all tokens to an attempt.

        Returns:
            Number of tokens to send with the attempt.
        """
        self._sent = self._tokens
        self._tokens = 0
        return self._sent

    def record_reply(self, tokens_left: int) -> None:
        """Take back the tokens that an attempt has not spent.

        Args:
            tokens_left: Tokens left according to the reply; no more than were
                sent are taken back.
        """
        self._tokens += max(0, min(tokens_left, self._sent))
        self._sent = 0

    def record_not_run(self) -> None:
        """Take back all tokens of an attempt that did not run."""
        self._tokens += self._sent
        self._sent = 0

    def record_lost_reply(self) -> None:
        """Drop the tokens of an attempt whose reply was lost.

        The attempt may have spent them, so using them again could exceed the
        bound.
        """
        self._sent = 0

    def spend(self) -> bool:
        """Spend one token on a retry.

        Takes another part of the pool when the call holds no tokens.

        Returns:
            Whether a token was available.
        """
        if not self._tokens:
            self._tokens = self._pool.take_for_call()
        if not self._tokens:
            return False
        self._tokens -= 1
        return True

    def close(self) -> None:
        """Return the remaining tokens to the run."""
        self._pool.refund(self._tokens)
        self._tokens = 0
