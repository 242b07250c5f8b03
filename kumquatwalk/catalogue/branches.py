"""Pure functions that join two branches of the catalogue's history.

A store that is restored from a copy loses the last accepted edits, while nodes
still have them in force. Edits accepted after that begin a second branch, whose
revisions repeat those that were lost.
"""

import dataclasses

from kumquatwalk.catalogue.audit import AuditRecord
from kumquatwalk.catalogue.check import check_catalogue
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.exception import CatalogueError

__all__ = ["find_fork", "join_branches"]


def join_branches(
    held: Catalogue, stored: Catalogue
) -> tuple[Catalogue, tuple[AuditRecord, ...]]:
    """Return a catalogue with the accepted edits of both branches.

    The edits of the stored branch are applied after those of the held one,
    because they were accepted later. So the revision rises above all that nodes
    have in force.

    Args:
        held: Catalogue that a node has in force.
        stored: Catalogue that the restored store has.

    Returns:
        The joined catalogue, and the records of edits that could not be
        applied without breaking a rule. The catalogue is ``stored`` if that
        has all edits of ``held``.

    Example:
        >>> old, new = Catalogue(3, {}), Catalogue(4, {})
        >>> join_branches(old, new)[0].revision
        4
    """
    fork = find_fork(held, stored)
    if fork == held.revision:
        return stored, ()
    known = {record.change_id for record in held.records}
    joined = held
    rejected = []
    for record in stored.records:
        if record.revision <= fork or record.change_id in known:
            continue
        try:
            joined = _apply_record(joined, record)
        except CatalogueError:
            rejected.append(record)
    return joined, tuple(rejected)


def find_fork(held: Catalogue, stored: Catalogue) -> int:
    """Return the last revision that two catalogues have in common.

    A revision whose record one of them no longer keeps is taken to be common.

    Args:
        held: One catalogue.
        stored: The other one.
    """
    held_ids = {r.revision: r.change_id for r in held.records}
    stored_ids = {r.revision: r.change_id for r in stored.records}
    revision = min(held.revision, stored.revision)
    while revision in held_ids and revision in stored_ids:
        if held_ids[revision] == stored_ids[revision]:
            break
        revision -= 1
    return revision


def _apply_record(catalogue: Catalogue, record: AuditRecord) -> Catalogue:
    entries = dict(catalogue.entries)
    before = entries.pop(record.entry_name, None)
    if record.after is not None:
        entries[record.entry_name] = record.after
    elif before is None:
        return catalogue
    moved = dataclasses.replace(
        record, revision=catalogue.revision + 1, before=before
    )
    edited = Catalogue(moved.revision, entries, (*catalogue.records, moved))
    check_catalogue(edited)
    return edited
