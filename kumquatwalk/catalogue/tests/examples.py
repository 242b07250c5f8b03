"""Entries, edits and strategies for the tests of the catalogue."""

import dataclasses

from hypothesis import strategies as st

from kumquatwalk.catalogue import bounds
from kumquatwalk.catalogue.change import Change
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.edit import apply_changes
from kumquatwalk.catalogue.editor import Editor
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.limits import Limits

LIMITS = Limits(in_flight=10, rate_per_s=50.0, retries=3, time_ms=2000)
ADMIN = Editor("ops/ama", "test", 1, as_admin=True)


def make_entry(name: str, **fields) -> Entry:
    """Return an entry of team ``shop``, with some fields replaced."""
    entry = Entry(name, "shop", "orders", Importance.NORMAL, False, LIMITS)
    return dataclasses.replace(entry, **fields)


def make_change(entry: Entry, number: int, seen: int | None = None) -> Change:
    """Return a change to an entry with a change id made from a number."""
    return Change(entry.name, entry, f"{number:032x}", seen)


def make_catalogue(*entries: Entry) -> Catalogue:
    """Return a catalogue with one record for each entry."""
    changes = tuple(make_change(e, i) for i, e in enumerate(entries))
    return apply_changes(Catalogue(0, {}), changes, ADMIN)


limits = st.builds(
    Limits,
    in_flight=st.integers(bounds.MIN_IN_FLIGHT, bounds.MAX_IN_FLIGHT),
    rate_per_s=st.floats(bounds.MIN_RATE_PER_S, bounds.MAX_RATE_PER_S),
    retries=st.integers(0, bounds.MAX_RETRIES),
    time_ms=st.integers(bounds.MIN_TIME_MS, bounds.MAX_TIME_MS),
)
names = st.from_regex(bounds.NAME_PATTERN, fullmatch=True)


@st.composite
def acyclic_entries(draw, max_entries: int = 6) -> list[Entry]:
    """Draw entries that call only entries drawn before them."""
    drawn: list[Entry] = []
    for name in draw(st.lists(names, unique=True, max_size=max_entries)):
        calls = draw(st.lists(st.sampled_from(drawn or [None]), unique=True))
        entry = make_entry(
            name,
            owner=draw(names),
            importance=draw(st.sampled_from(Importance)),
            idempotent=draw(st.booleans()),
            limits=draw(limits),
            calls=tuple(callee.name for callee in calls if callee),
        )
        drawn.append(entry)
    return drawn


@st.composite
def catalogues(draw) -> Catalogue:
    """Draw a valid catalogue with its records."""
    valid: dict[str, Entry] = {}
    for entry in draw(acyclic_entries()):
        pure = all(valid[callee].idempotent for callee in entry.calls)
        idempotent = entry.idempotent and pure
        valid[entry.name] = dataclasses.replace(entry, idempotent=idempotent)
    if not valid:
        return Catalogue(draw(st.integers(0, bounds.MAX_REVISION)), {})
    return make_catalogue(*valid.values())
