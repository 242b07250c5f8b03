"""Retry tokens of one run, shared by the calls that it makes."""

__all__ = ["TokenPool"]


class TokenPool:
    """Retry tokens that one run has left, for sequential or parallel calls.

    The number of tokens in a call tree never grows, which bounds its retries.
    A call takes a part of the pool, passes it to the run below, and returns
    what the reply says is left. Tokens are lost when the reply is lost.

    Args:
        tokens: Initial number of tokens; negative numbers count as 0.

    Example:
        >>> pool = TokenPool(3)
        >>> pool.take_for_call()
        2
        >>> pool.left
        1
    """

    def __init__(self, tokens: int):
        self._tokens = max(0, tokens)

    @property
    def left(self) -> int:
        """Number of tokens in the pool."""
        return self._tokens

    def take_for_call(self) -> int:
        """Remove half of the tokens, rounded up, for one call.

        Returns:
            Number of tokens removed.
        """
        taken = (self._tokens + 1) // 2
        self._tokens -= taken
        return taken

    def refund(self, tokens: int) -> None:
        """Return unspent tokens of a call to the pool.

        Args:
            tokens: Number of tokens; negative numbers count as 0.
        """
        self._tokens += max(0, tokens)
