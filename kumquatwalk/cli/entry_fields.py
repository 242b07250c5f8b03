"""Fields of an entry as given on the command line."""

import dataclasses

from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.limits import Limits
from kumquatwalk.exception import CatalogueError

__all__ = ["EntryFields"]

_LIMIT_NAMES = ("in_flight", "rate_per_s", "retries", "time_ms")
_NEEDED = ("owner", "service", *_LIMIT_NAMES)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryFields:
    """Fields to set; None leaves a field as it is.

    Attributes:
        owner: Team that owns the entry.
        service: Service whose targets run the entry.
        importance: Name of the class of importance.
        idempotent: Whether running the entry again is harmless.
        in_flight: Calls in progress at once.
        rate_per_s: Calls started in a second.
        retries: Retry tokens of one request.
        time_ms: Longest time of one request in milliseconds.
        calls: Entries that a run may call.
    """

    owner: str | None = None
    service: str | None = None
    importance: str | None = None
    idempotent: bool | None = None
    in_flight: int | None = None
    rate_per_s: float | None = None
    retries: int | None = None
    time_ms: int | None = None
    calls: tuple[str, ...] | None = None

    def merge(self, name: str, before: Entry | None) -> Entry:
        """Return the entry with the given fields replaced.

        A new entry is of normal importance, not idempotent and calls nothing
        unless told otherwise; its other fields must all be given.

        Args:
            name: Name of the entry.
            before: Entry as it is; None makes a new one.

        Raises:
            CatalogueError: If a new entry lacks a field.
        """
        if before is None:
            before = self._make_blank(name)
        given = {
            field.name: getattr(self, field.name)
            for field in dataclasses.fields(self)
            if getattr(self, field.name) is not None
        }
        limits = {n: given.pop(n) for n in _LIMIT_NAMES if n in given}
        if "importance" in given:
            given["importance"] = Importance[given["importance"].upper()]
        limits = dataclasses.replace(before.limits, **limits)
        return dataclasses.replace(before, limits=limits, **given)

    def _make_blank(self, name: str) -> Entry:
        missing = [n for n in _NEEDED if getattr(self, n) is None]
        if missing:
            raise CatalogueError(
                "field_missing", f"a new entry needs {', '.join(missing)}"
            )
        limits = Limits(self.in_flight, self.rate_per_s, self.retries, 0)
        return Entry(
            name, self.owner, self.service, Importance.NORMAL, False, limits
        )
