"""Fields of a catalogue entry given on the command line."""

import dataclasses

from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.limits import Limits
from kumquatwalk.exception import CatalogueError

__all__ = ["EntryFields"]

_LIMIT_NAMES = ("in_flight", "rate_per_s", "retries", "time_ms")
_REQUIRED_FIELDS = ("owner", "service", *_LIMIT_NAMES)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryFields:
    """Fields of an entry to set; None leaves a field unchanged.

    Attributes:
        owner: Team that owns the entry.
        service: Service whose targets run the entry.
        importance: Name of the importance class, in lower case.
        idempotent: Whether the entry is idempotent, so that a call may be
            repeated.
        in_flight: Maximum calls in flight at once, in the whole fleet.
        rate_per_s: Maximum calls started per second, in the whole fleet.
        retries: Retry tokens of one request, shared by its call chain.
        time_ms: Maximum duration of one request, in milliseconds.
        calls: Entries that this one may call.
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

        By default, a new entry has normal importance, is not idempotent and
        calls no other entry; all other fields are required.

        Args:
            name: Name of a new entry; an existing one keeps its name.
            before: Existing entry; None to create a new one.

        Raises:
            CatalogueError: If a required field of a new entry is missing.
        """
        if before is None:
            before = self._make_new_entry(name)
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

    def _make_new_entry(self, name: str) -> Entry:
        missing = [n for n in _REQUIRED_FIELDS if getattr(self, n) is None]
        if missing:
            raise CatalogueError(
                "field_missing", f"a new entry requires {', '.join(missing)}"
            )
        limits = Limits(self.in_flight, self.rate_per_s, self.retries, 0)
        return Entry(
            name, self.owner, self.service, Importance.NORMAL, False, limits
        )
