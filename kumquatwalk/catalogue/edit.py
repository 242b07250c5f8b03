"""Pure functions that apply changes to a catalogue.

An edit must pass `kumquatwalk.catalogue.check`, and the author's team must own
the entry. For an existing entry the owner before the change counts, so an owner
can transfer an entry; a new entry belongs to the owner that it names.
``as_admin`` skips the ownership check.

The author is recorded but not verified. The platform's service does not
authenticate operators, so the author is whatever the operator states, and
anyone with write access to the key can write any value. A record whose author's
team is not the owner shows that ``as_admin`` was used. Nodes check the rules
but not the ownership.
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
    """Apply changes and append one audit record for each.

    Args:
        catalogue: Catalogue to start from; not modified.
        changes: Changes of different entries.
        editor: Who makes the changes, and why.

    Returns:
        New catalogue, with its revision increased by the number of changes.

    Raises:
        CatalogueError: If a change violates a rule or has no effect.

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


def check_conflict(
    catalogue: Catalogue, change: Change, seen_revision: int
) -> None:
    """Reject a change if its entry was changed after a revision.

    Args:
        catalogue: Catalogue that the change would be applied to.
        change: Requested change.
        seen_revision: Catalogue revision that the operator last read.

    Raises:
        EditConflictError: If the entry was changed after that revision, or the
            retained records do not reach back to it.
    """
    if seen_revision > catalogue.revision:
        raise EditConflictError(
            "revision_ahead",
            f"revision {seen_revision} was expected, the platform has"
            f" {catalogue.revision}",
        )
    for record in reversed(catalogue.records):
        if record.revision <= seen_revision:
            return
        if record.entry_name == change.entry_name:
            raise EditConflictError(
                "edit_conflict",
                f"{record.author} changed {record.entry_name} in revision"
                f" {record.revision}, after revision {seen_revision}",
            )
    kept = len(catalogue.records)
    if catalogue.revision - kept > seen_revision:
        raise EditConflictError(
            "expected_too_old",
            "the retained records do not reach back to revision"
            f" {seen_revision}; read the entry again",
        )


def find_change(catalogue: Catalogue, change_id: str) -> AuditRecord | None:
    """Return the record of a change, or None if no retained record has it."""
    for record in reversed(catalogue.records):
        if record.change_id == change_id:
            return record
    return None


def trim_records(catalogue: Catalogue, oldest_kept: int) -> Catalogue:
    """Return the catalogue without the records older than a revision."""
    kept = tuple(r for r in catalogue.records if r.revision >= oldest_kept)
    return Catalogue(catalogue.revision, catalogue.entries, kept)


def _check_change(change: Change, before: Entry | None, editor: Editor) -> None:
    if before is None and change.after is None:
        raise CatalogueError("entry_unknown", f"no entry {change.entry_name!r}")
    if change.after is not None and change.after.name != change.entry_name:
        raise CatalogueError("name_invalid", "an entry cannot be renamed")
    if before == change.after:
        raise CatalogueError(
            "entry_unchanged", f"{change.entry_name} already has these values"
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
