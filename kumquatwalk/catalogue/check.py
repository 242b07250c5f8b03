"""Rules that a catalogue must keep; pure validation."""

from collections.abc import Mapping

from kumquatwalk.catalogue import bounds
from kumquatwalk.catalogue.audit import AuditRecord
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.limits import Limits
from kumquatwalk.exception import CatalogueError

__all__ = ["check_catalogue", "check_entry"]


def check_catalogue(catalogue: Catalogue) -> None:
    """Check every entry, how the entries fit together, and the records.

    Args:
        catalogue: Catalogue to check.

    Raises:
        CatalogueError: On the first rule that is broken; its code says which.
    """
    if len(catalogue.entries) > bounds.MAX_ENTRIES:
        raise CatalogueError(
            "entries_too_many", f"at most {bounds.MAX_ENTRIES} entries"
        )
    for name, entry in catalogue.entries.items():
        if name != entry.name:
            raise CatalogueError("name_invalid", f"{name} holds {entry.name}")
        check_entry(entry)
        _check_callees(catalogue.entries, entry)
    _check_depth(catalogue.entries)
    _check_records(catalogue)


def check_entry(entry: Entry) -> None:
    """Check the fields of one entry.

    Args:
        entry: Entry to check.

    Raises:
        CatalogueError: On the first rule that is broken.
    """
    _check_name("entry", "name_invalid", entry.name)
    _check_name("owner", "owner_invalid", entry.owner)
    _check_name("service", "service_invalid", entry.service)
    if not isinstance(entry.importance, Importance):
        raise CatalogueError(
            "importance_unknown", f"{entry.name}: {entry.importance!r}"
        )
    if not isinstance(entry.idempotent, bool):
        raise CatalogueError("idempotent_invalid", f"{entry.name}")
    _check_limits(entry.name, entry.limits)
    if len(entry.calls) > bounds.MAX_CALLS:
        raise CatalogueError(
            "calls_too_many", f"{entry.name}: at most {bounds.MAX_CALLS}"
        )
    if len(set(entry.calls)) != len(entry.calls):
        raise CatalogueError("call_repeated", f"{entry.name} repeats a call")


def _check_name(kind: str, code: str, name: object) -> None:
    if not isinstance(name, str) or not bounds.NAME_PATTERN.fullmatch(name):
        raise CatalogueError(
            code, f"{kind} {name!r:.80} is missing or not a valid name"
        )


def _check_limits(name: str, limits: Limits) -> None:
    ranges = (
        (
            "in_flight",
            limits.in_flight,
            bounds.MIN_IN_FLIGHT,
            bounds.MAX_IN_FLIGHT,
        ),
        (
            "rate_per_s",
            limits.rate_per_s,
            bounds.MIN_RATE_PER_S,
            bounds.MAX_RATE_PER_S,
        ),
        ("retries", limits.retries, 0, bounds.MAX_RETRIES),
        ("time_ms", limits.time_ms, bounds.MIN_TIME_MS, bounds.MAX_TIME_MS),
    )
    for field, value, least, most in ranges:
        if not least <= value <= most:
            raise CatalogueError(
                "limit_out_of_range",
                f"{name}: {field} {value!r} must be {least} to {most}",
            )


def _check_callees(entries: Mapping[str, Entry], entry: Entry) -> None:
    for callee in entry.calls:
        if callee not in entries:
            raise CatalogueError(
                "call_unknown", f"{entry.name} calls {callee!r:.80}"
            )
        # An entry declared idempotent may call only such entries, so none of
        # them can reach one that is not.
        if entry.idempotent and not entries[callee].idempotent:
            raise CatalogueError(
                "idempotence_broken",
                f"{entry.name} is declared idempotent but calls {callee},"
                " which is not",
            )


def _check_depth(entries: Mapping[str, Entry]) -> None:
    """Order the entries by Kahn's algorithm and follow the longest chain."""
    callers_left = dict.fromkeys(entries, 0)
    for entry in entries.values():
        for callee in entry.calls:
            callers_left[callee] += 1
    depths = {name: 1 for name, left in callers_left.items() if left == 0}
    ready = list(depths)
    ordered = 0
    while ready:
        name = ready.pop()
        ordered += 1
        if depths[name] > bounds.MAX_DEPTH:
            raise CatalogueError(
                "calls_too_deep",
                f"a chain to {name} is over {bounds.MAX_DEPTH} entries long",
            )
        for callee in entries[name].calls:
            depths[callee] = max(depths.get(callee, 1), depths[name] + 1)
            callers_left[callee] -= 1
            if callers_left[callee] == 0:
                ready.append(callee)
    if ordered != len(entries):
        cyclic = min(name for name, left in callers_left.items() if left)
        raise CatalogueError(
            "calls_cyclic", f"{cyclic} is part of or behind a cycle of calls"
        )


def _check_records(catalogue: Catalogue) -> None:
    revision = catalogue.revision
    latest: dict[str, AuditRecord] = {}
    for record in reversed(catalogue.records):
        if record.revision != revision:
            raise CatalogueError(
                "records_broken", f"no record of revision {revision}"
            )
        revision -= 1
        later = latest.get(record.entry_name)
        present = catalogue.entries.get(record.entry_name)
        expected = present if later is None else later.before
        if record.after != expected:
            raise CatalogueError(
                "records_broken",
                f"record {record.revision} does not fit {record.entry_name}",
            )
        latest[record.entry_name] = record
