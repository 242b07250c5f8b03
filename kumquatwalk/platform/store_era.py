"""Tracks the era of the store by the answers to all calls."""

from collections.abc import Callable

from kumquatwalk.exception import OutcomeUnknownError
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level

__all__ = ["StoreEra"]

_DIGITS_MAX = 18


class StoreEra:
    """Era of the store, which rises each time it is restored from a copy.

    Attributes:
        number: Highest era seen; 0 before the first, and for a store that names
            none.
        on_restore: Called once for each rise after the first era seen, before
            the answer that showed it is used.
    """

    def __init__(self):
        self.number = 0
        self.on_restore: Callable[[], None] = _ignore_restore
        self._last_rejected: bytes | None = None

    def observe(self, header: bytes | None) -> None:
        """Record the era that an answer names.

        An answer without an era, or with one that cannot be read, is taken to
        be of the era seen last.

        Args:
            header: Value of the header; None if the answer has none.

        Raises:
            OutcomeUnknownError: The answer is of an era that is over, so that
                what it says may have been lost (code ``store_era_over``).
        """
        if header is None:
            return
        if not header.isdigit() or len(header) > _DIGITS_MAX:
            if header != self._last_rejected:
                log_event(
                    "store_era_unreadable",
                    Level.WARNING,
                    value=repr(header[:40]),
                )
            self._last_rejected = header
            return
        era = int(header)
        if era < self.number:
            raise OutcomeUnknownError(
                "store_era_over", f"answer of era {era}, now {self.number}"
            )
        if era == self.number:
            return
        previous, self.number = self.number, era
        if previous:
            log_event(
                "store_restored", Level.WARNING, era=era, previous=previous
            )
            self.on_restore()


def _ignore_restore() -> None:
    pass
