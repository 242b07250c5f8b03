"""State of one compare-and-swap edit of the catalogue."""

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
from kumquatwalk.platform.store_position import ABSENT
from kumquatwalk.platform.store_position import StorePosition

__all__ = ["Transaction"]


class Transaction:
    """Tracks whether the writes of one edit took effect.

    The outcome of a write whose response was lost is unknown until a read shows
    its change id, or shows that another write replaced that revision. Until
    then the edit is retried only as the same write against the same revision of
    the key, so that at most one of them can take effect.

    Args:
        changes: Changes to apply atomically.
        editor: Author of the changes and the reason.
    """

    def __init__(self, changes: tuple[Change, ...], editor: Editor):
        self._changes = changes
        self._editor = editor
        self._first_revision: int | None = None
        self._newest_key_position = ABSENT
        self._unknown_key_position: StorePosition | None = None
        self._unknown_revision = 0

    @property
    def is_outcome_unknown(self) -> bool:
        """Whether a write may have taken effect without confirmation."""
        return self._unknown_key_position is not None

    def detect_stale_read(self, snapshot: Snapshot) -> bool:
        """Record a read and return whether it is older than an earlier one."""
        if snapshot.key_position < self._newest_key_position:
            return True
        self._newest_key_position = snapshot.key_position
        if self._first_revision is None:
            self._first_revision = snapshot.catalogue.revision
        return False

    def is_accepted(self, catalogue: Catalogue) -> bool:
        """Return whether the retained records include this edit."""
        if not self._changes:
            return False
        return find_change(catalogue, self._changes[0].change_id) is not None

    def find_archive_segment(self, snapshot: Snapshot) -> int | None:
        """Return the archive segment that may hold a write of unknown outcome.

        Args:
            snapshot: Document without a record of this edit.

        Returns:
            First revision of the segment; None if no outcome is unknown or the
            retained records reach back far enough to determine it.
        """
        records = snapshot.catalogue.records
        oldest_kept = records[0].revision if records else 1
        if (
            self._unknown_key_position is None
            or oldest_kept <= self._unknown_revision
        ):
            return None
        return archive.find_segment_start(self._unknown_revision)

    def find_in_archive(
        self, records: tuple[AuditRecord, ...]
    ) -> tuple[AuditRecord, ...]:
        """Return the records of this edit from an archived segment.

        Args:
            records: Records of the segment that may contain them.

        Raises:
            PlatformReadError: If the segment lacks the revision in question,
                so that the outcome stays unknown.
        """
        if all(r.revision != self._unknown_revision for r in records):
            raise PlatformReadError(
                "archive_incomplete",
                f"revision {self._unknown_revision} is not in the archive",
            )
        return self.select_records(records)

    def clear_if_superseded(self, snapshot: Snapshot) -> None:
        """Rule out the write of unknown outcome if another one replaced it.

        Args:
            snapshot: Document that was read and has no record of this edit.
        """
        if (
            self._unknown_key_position is not None
            and snapshot.key_position > self._unknown_key_position
        ):
            self._unknown_key_position = None

    def record_unknown_write(self, snapshot: Snapshot) -> None:
        """Record that the response to a write was lost.

        Args:
            snapshot: Document that the write was based on.
        """
        self._unknown_key_position = snapshot.key_position
        self._unknown_revision = snapshot.catalogue.revision + 1

    def prepare(self, catalogue: Catalogue) -> Catalogue:
        """Apply the changes and trim records that can be archived.

        Args:
            catalogue: Document that was read.

        Raises:
            EditConflictError: If another operator changed an entry.
            CatalogueError: If a change violates a rule.
        """
        for change in self._changes:
            seen_revision = change.expected_revision
            seen_revision = (
                self._first_revision if seen_revision is None else seen_revision
            )
            check_conflict(catalogue, change, seen_revision)
        edited = apply_changes(catalogue, self._changes, self._editor)
        segments = archive.list_segments(catalogue)
        if not segments:
            return edited
        return trim_records(edited, segments[-1][-1].revision + 1)

    def select_records(
        self, records: tuple[AuditRecord, ...]
    ) -> tuple[AuditRecord, ...]:
        """Return the records that belong to this edit."""
        change_ids = {change.change_id for change in self._changes}
        return tuple(r for r in records if r.change_id in change_ids)
