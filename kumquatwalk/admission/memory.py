"""Admission of requests by the memory for answers."""

from kumquatwalk.http1.byte_budget import ByteBudget

__all__ = ["MemoryAdmission"]

# Answers up to this size are admitted whatever is held, in kilobytes, so that
# slow readers of large answers do not keep all other callers out.
SMALL_ANSWER_KB = 16.0
_KB = 1000


class MemoryAdmission:
    """Decides whether there is memory for the answer to a request.

    Args:
        budget: Bytes of answers that callers have not taken yet.

    Attributes:
        budget: Bytes of answers that callers have not taken yet.
    """

    def __init__(self, budget: ByteBudget):
        self.budget = budget

    def admits(self, size_kb: float) -> bool:
        """Return whether a request whose answer has a given size is admitted.

        Args:
            size_kb: Expected size of the answer, in kilobytes.
        """
        if size_kb <= SMALL_ANSWER_KB:
            return True
        return self.budget.used + size_kb * _KB <= self.budget.limit
