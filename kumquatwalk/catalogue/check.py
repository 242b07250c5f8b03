"""Validation of catalogues and their entries."""

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
    """Check each entry, the call graph of all entries, and the audit records.

    Args:
        catalogue: Catalogue to check.

    Raises:
        CatalogueError: On the first violated rule, which its code names.
    """
    if len(catalogue.entries) > bounds.MAX_ENTRIES:
        raise CatalogueError(
            "entries_too_many", f"at most {bounds.MAX_ENTRIES} entries allowed"
        )
    for name, entry in catalogue.entries.items():
        if name != entry.name:
            raise CatalogueError(
                "name_invalid", f"key {name} holds entry {entry.name}"
            )
        check_entry(entry)
        _check_callees(catalogue.entries, entry)
    _check_depth(catalogue.entries)
    _check_records(catalogue)


def check_entry(entry: Entry) -> None:
    """Check the fields of one entry.

    Args:
        entry: Entry to check.

    Raises:
        CatalogueError: On the first violated rule, which its code names.
    """
    _check_name("entry", "name_invalid", entry.name)
    _check_name("owner", "owner_invalid", entry.owner)
    _check_name("service", "service_invalid", entry.service)
    if not isinstance(entry.importance, Importance):
        raise CatalogueError(
            "importance_unknown",
            f"{entry.name}: unknown importance {entry.importance!r}",
        )
    if not isinstance(entry.idempotent, bool):
        raise CatalogueError(
            "idempotent_invalid",
            f"{entry.name}: idempotent must be true or false",
        )
    _check_limits(entry.name, entry.limits)
    if len(entry.calls) > bounds.MAX_CALLS:
        raise CatalogueError(
            "calls_too_many",
            f"{entry.name}: at most {bounds.MAX_CALLS} calls allowed",
        )
    if len(set(entry.calls)) != len(entry.calls):
        raise CatalogueError(
            "call_repeated", f"{entry.name} lists a call twice"
        )


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
    for field, value, minimum, maximum in ranges:
        if not minimum <= value <= maximum:
            raise CatalogueError(
                "limit_out_of_range",
                f"{name}: {field} {value!r} must be {minimum} to {maximum}",
            )


def _check_callees(entries: Mapping[str, Entry], entry: Entry) -> None:
    for callee in entry.calls:
        if callee not in entries:
            raise CatalogueError(
                "call_unknown",
                f"{entry.name} calls unknown entry {callee!r:.80}",
            )
        # Checking direct calls is enough: if each idempotent entry calls only
        # idempotent entries, none can reach one that is not idempotent.
        if entry.idempotent and not entries[callee].idempotent:
            raise CatalogueError(
                "idempotence_broken",
                f"{entry.name} is declared idempotent but calls {callee},"
                " which is not",
            )


def _check_depth(entries: Mapping[str, Entry]) -> None:
    """Sort the entries topologically (Kahn) and bound the longest path."""
    in_degrees = dict.fromkeys(entries, 0)
    for entry in entries.values():
        for callee in entry.calls:
            in_degrees[callee] += 1
    depths = {name: 1 for name, degree in in_degrees.items() if degree == 0}
    ready = list(depths)
    sorted_count = 0
    while ready:
        name = ready.pop()
        sorted_count += 1
        if depths[name] > bounds.MAX_DEPTH:
            raise CatalogueError(
                "calls_too_deep",
                f"the call chain to {name} has over {bounds.MAX_DEPTH} entries",
            )
        for callee in entries[name].calls:
            depths[callee] = max(depths.get(callee, 1), depths[name] + 1)
            in_degrees[callee] -= 1
            if in_degrees[callee] == 0:
                ready.append(callee)
    if sorted_count != len(entries):
        cyclic = min(name for name, degree in in_degrees.items() if degree)
        raise CatalogueError(
            "calls_cyclic",
            f"{cyclic} is in a cycle of calls or reachable from one",
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
                f"record {record.revision} does not match entry"
                f" {record.entry_name}",
            )
        latest[record.entry_name] = record
