"""Retry tokens held for one call over all of its attempts."""

from kumquatwalk.retry.tokens import TokenPool

__all__ = ["CallTokens"]


class CallTokens:
    """Account of one call's share of its run's tokens.

    Owned by the thread that makes the call. The order of use is ``send``, one
    of the ``note_`` methods, then ``spend`` before another attempt, and
    ``close`` at the end.

    Example:
        >>> pool = TokenPool(3)
        >>> tokens = CallTokens(pool)
        >>> tokens.send()
        2
        >>> tokens.note_reply(2)
        >>> tokens.spend()
        True
        >>> tokens.close()
        >>> pool.left
        2
    """

    def __init__(self, pool: TokenPool):
        self._pool = pool
        self._held = pool.take_for_call()
        self._sent = 0

    @property
    def available(self) -> int:
        """Tokens that another attempt could be paid from."""
        return self._held or self._pool.left

    def send(self) -> int:
        """Hand all tokens held to an attempt.

        Returns:
            Tokens to send along with the attempt.
        """
        self._sent = self._held
        self._held = 0
        return self._sent

    def note_reply(self, tokens_left: int) -> None:
        """Take back what the reply hands back, never more than was sent.

        Args:
            tokens_left: Tokens that the reply says are left.
        """
        self._held += max(0, min(tokens_left, self._sent))
        self._sent = 0

    def note_unsent(self) -> None:
        """Take back all tokens of an attempt that was certainly not sent."""
        self._held += self._sent
        self._sent = 0

    def note_lost(self) -> None:
        """Write off the tokens of an attempt whose reply is lost."""
        self._sent = 0

    def spend(self) -> bool:
        """Spend one token for another attempt.

        Returns:
            Whether a token was left to spend.
        """
        if not self._held:
            self._held = self._pool.take_for_call()
        if not self._held:
            return False
        self._held -= 1
        return True

    def close(self) -> None:
        """Return the tokens still held to the run."""
        self._pool.give_back(self._held)
        self._held = 0
