"""Progress of one edit through reads, writes and lost answers."""

from kumquatwalk.catalogue import archive
from kumquatwalk.catalogue.audit import AuditRecord
from kumquatwalk.catalogue.change import Change
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.edit import apply_changes
from kumquatwalk.catalogue.edit import check_conflict
from kumquatwalk.catalogue.edit import find_change
from kumquatwalk.catalogue.edit import trim_records
from kumquatwalk.catalogue.editor import Editor
from kumquatwalk.catalogue.snapshot import Snapshot
from kumquatwalk.exception import PlatformReadError

__all__ = ["Transaction"]


class Transaction:
    """Decides what each read of the document means for one edit.

    A write whose answer was lost stays unsettled until a read shows either its
    change id, or that another write took its place. Until then the edit is
    repeated only as the same write against the same revision of the key, of
    which at most one can take effect.

    Args:
        changes: Changes to make together.
        editor: Who makes the changes, and why.
    """

    def __init__(self, changes: tuple[Change, ...], editor: Editor):
        self._changes = changes
        self._editor = editor
        self._first_seen: int | None = None
        self._newest_key_revision = 0
        self._lost_at: int | None = None
        self._lost_revision = 0

    @property
    def is_unsettled(self) -> bool:
        """Whether a write may have taken effect without being seen."""
        return self._lost_at is not None

    def is_stale(self, snapshot: Snapshot) -> bool:
        """Return whether a read is older than one before it."""
        if snapshot.key_revision < self._newest_key_revision:
            return True
        self._newest_key_revision = snapshot.key_revision
        if self._first_seen is None:
            self._first_seen = snapshot.catalogue.revision
        return False

    def is_accepted(self, catalogue: Catalogue) -> bool:
        """Return whether the document has the record of the edit."""
        if not self._changes:
            return False
        return find_change(catalogue, self._changes[0].change_id) is not None

    def find_archived(self, snapshot: Snapshot) -> int | None:
        """Return the segment that may hold the record of a lost write.

        Args:
            snapshot: Document that does not have the record.

        Returns:
            First revision of the segment; None when the kept records reach
            back far enough to settle the matter.
        """
        records = snapshot.catalogue.records
        kept_from = records[0].revision if records else 1
        if self._lost_at is None or kept_from <= self._lost_revision:
            return None
        return archive.find_segment_start(self._lost_revision)

    def settle_archived(
        self, records: tuple[AuditRecord, ...]
    ) -> tuple[AuditRecord, ...]:
        """Return the records of this edit in an archived segment.

        Args:
            records: Records of the segment that may hold them.

        Raises:
            PlatformReadError: If the segment lacks the revision in question,
                so that the edit stays unsettled.
        """
        if all(r.revision != self._lost_revision for r in records):
            raise PlatformReadError(
                "archive_incomplete",
                f"revision {self._lost_revision} is not in the archive",
            )
        return self.pick_records(records)

    def settle(self, snapshot: Snapshot) -> None:
        """Note that a document without the record was read.

        Args:
            snapshot: Document read.
        """
        if self._lost_at is not None and snapshot.key_revision > self._lost_at:
            self._lost_at = None

    def note_lost(self, snapshot: Snapshot) -> None:
        """Note that the answer of a write against a document was lost.

        Args:
            snapshot: Document that the write was to follow.
        """
        self._lost_at = snapshot.key_revision
        self._lost_revision = snapshot.catalogue.revision + 1

    def prepare(self, catalogue: Catalogue) -> Catalogue:
        """Return the document to write next.

        Args:
            catalogue: Document as read.

        Raises:
            EditConflictError: If an entry was changed by someone else.
            CatalogueError: If a change breaks a rule.
        """
        for change in self._changes:
            seen = change.expected_revision
            seen = self._first_seen if seen is None else seen
            check_conflict(catalogue, change, seen)
        edited = apply_changes(catalogue, self._changes, self._editor)
        segments = archive.list_segments(catalogue)
        if not segments:
            return edited
        return trim_records(edited, segments[-1][-1].revision + 1)

    def pick_records(
        self, records: tuple[AuditRecord, ...]
    ) -> tuple[AuditRecord, ...]:
        """Return those of the records that belong to this edit."""
        wanted = {change.change_id for change in self._changes}
        return tuple(r for r in records if r.change_id in wanted)
