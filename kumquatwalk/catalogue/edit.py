"""Editing of a catalogue; pure functions.

What is enforced when an edit is made: the rules of
`kumquatwalk.catalogue.check`, and that the author's team owns the entry. The
owner of an existing entry is the one before the change, so an owner may hand
an entry over; a new entry belongs to the owner it names. ``as_admin`` lifts
the rule on owners.

What is only recorded: who the author is. The platform's service does not
authenticate operators, so the author is what the operator says, and anyone who
may write the key may write any value. A record whose author's team is not the
owner shows that ``as_admin`` was used. Nodes check the rules, not the owners.
"""

from kumquatwalk.catalogue.audit import AuditRecord
from kumquatwalk.catalogue.change import Change
from kumquatwalk.catalogue.check import check_catalogue
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.editor import Editor
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.exception import CatalogueError
from kumquatwalk.exception import EditConflictError

__all__ = ["apply_changes", "check_conflict", "find_change", "trim_records"]


def apply_changes(
    catalogue: Catalogue, changes: tuple[Change, ...], editor: Editor
) -> Catalogue:
    """Return the catalogue after all the changes, with one record for each.

    Args:
        catalogue: Catalogue to begin from; it stays as it is.
        changes: Changes of different entries.
        editor: Who makes the changes, and why.

    Returns:
        The new catalogue; its revision is raised by the number of changes.

    Raises:
        CatalogueError: If any change breaks a rule or changes nothing.

    Example:
        >>> editor = Editor("shop/ama", "first entry", 0)
        >>> change = Change("a", None, "0" * 16)
        >>> apply_changes(Catalogue(0, {}), (change,), editor)
        Traceback (most recent call last):
        ...
        kumquatwalk.exception.CatalogueError: entry_unknown: no entry 'a'
    """
    editor.check()
    if not changes:
        raise CatalogueError("changes_missing", "there is nothing to change")
    if len({change.entry_name for change in changes}) != len(changes):
        raise CatalogueError("entry_repeated", "an entry is changed twice")
    entries = dict(catalogue.entries)
    records = list(catalogue.records)
    revision = catalogue.revision
    for change in changes:
        revision += 1
        before = entries.pop(change.entry_name, None)
        _check_change(change, before, editor)
        if change.after is not None:
            entries[change.entry_name] = change.after
        records.append(_make_record(change, before, editor, revision))
    edited = Catalogue(revision, entries, tuple(records))
    check_catalogue(edited)
    return edited


def check_conflict(catalogue: Catalogue, change: Change, seen: int) -> None:
    """Refuse a change whose entry was changed after a revision.

    Args:
        catalogue: Catalogue that the change would be applied to.
        change: Change asked for.
        seen: Catalogue revision that the operator had seen.

    Raises:
        EditConflictError: If the entry was changed after that revision, or the
            records no longer reach back to it.
    """
    if seen > catalogue.revision:
        raise EditConflictError(
            "revision_ahead",
            f"revision {seen} was expected, the platform has"
            f" {catalogue.revision}",
        )
    for record in reversed(catalogue.records):
        if record.revision <= seen:
            return
        if record.entry_name == change.entry_name:
            raise EditConflictError(
                "edit_conflict",
                f"{record.author} changed {record.entry_name} in revision"
                f" {record.revision}, after revision {seen}",
            )
    kept = len(catalogue.records)
    if catalogue.revision - kept > seen:
        raise EditConflictError(
            "expected_too_old",
            f"the records kept do not reach back to revision {seen};"
            " look at the entry again",
        )


def find_change(catalogue: Catalogue, change_id: str) -> AuditRecord | None:
    """Return the record of a change, if the kept records have it."""
    for record in reversed(catalogue.records):
        if record.change_id == change_id:
            return record
    return None


def trim_records(catalogue: Catalogue, kept_from: int) -> Catalogue:
    """Return the catalogue without its records before a revision."""
    kept = tuple(r for r in catalogue.records if r.revision >= kept_from)
    return Catalogue(catalogue.revision, catalogue.entries, kept)


def _check_change(change: Change, before: Entry | None, editor: Editor) -> None:
    if before is None and change.after is None:
        raise CatalogueError("entry_unknown", f"no entry {change.entry_name!r}")
    if change.after is not None and change.after.name != change.entry_name:
        raise CatalogueError("name_invalid", "an entry keeps its name")
    if before == change.after:
        raise CatalogueError(
            "entry_unchanged", f"{change.entry_name} is like that already"
        )
    owner = (before or change.after).owner
    if editor.team != owner and not editor.as_admin:
        raise CatalogueError(
            "owner_mismatch",
            f"{change.entry_name} belongs to {owner}, not to {editor.team}",
        )


def _make_record(
    change: Change, before: Entry | None, editor: Editor, revision: int
) -> AuditRecord:
    return AuditRecord(
        revision=revision,
        change_id=change.change_id,
        author=editor.author,
        reason=editor.reason,
        at_unix_ms=editor.at_unix_ms,
        entry_name=change.entry_name,
        before=before,
        after=change.after,
    )
