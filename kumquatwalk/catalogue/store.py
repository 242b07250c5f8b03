"""Reads and compare-and-swap edits of the stored catalogue."""

import random
import time
from collections.abc import Callable

from kumquatwalk.catalogue import archive
from kumquatwalk.catalogue.audit import AuditRecord
from kumquatwalk.catalogue.change import Change
from kumquatwalk.catalogue.codec import decode_catalogue
from kumquatwalk.catalogue.codec import encode_catalogue
from kumquatwalk.catalogue.document import EMPTY_CATALOGUE
from kumquatwalk.catalogue.editor import Editor
from kumquatwalk.catalogue.snapshot import Snapshot
from kumquatwalk.catalogue.transaction import Transaction
from kumquatwalk.exception import CatalogueError
from kumquatwalk.exception import CompareFailedError
from kumquatwalk.exception import EditConflictError
from kumquatwalk.exception import OutcomeUnknownError
from kumquatwalk.exception import PlatformError
from kumquatwalk.exception import PlatformReadError
from kumquatwalk.exception import PlatformUnavailableError
from kumquatwalk.platform.store_position import ABSENT

__all__ = ["CATALOGUE_KEY", "CatalogueStore"]

CATALOGUE_KEY = "catalogue"
MAX_ATTEMPTS = 10
BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_HISTORY_SEGMENTS = 1_000
_TRANSIENT_ERRORS = (
    CompareFailedError,
    PlatformReadError,
    PlatformUnavailableError,
)


class CatalogueStore:
    """Reads and edits the catalogue in the platform's key-value store.

    Args:
        client: Client of the store, such as
            `kumquatwalk.platform.blocking_store.BlockingStoreClient`.
        sleep: Called with the backoff in seconds between attempts.
    """

    def __init__(self, client, sleep: Callable[[float], None] = time.sleep):
        self._client = client
        self._sleep = sleep

    def load(self) -> Snapshot:
        """Read the catalogue; it is empty if the key does not exist.

        Raises:
            CatalogueError: If the stored document is corrupt.
            PlatformError: If the document cannot be read.
        """
        stored = self._client.get(CATALOGUE_KEY)
        if stored is None:
            return Snapshot(EMPTY_CATALOGUE, ABSENT)
        return Snapshot(decode_catalogue(stored.value), stored.position)

    def edit(
        self, changes: tuple[Change, ...], editor: Editor
    ) -> tuple[AuditRecord, ...]:
        """Apply changes atomically: all of them take effect, or none.

        Args:
            changes: Changes, each of a different entry.
            editor: Author of the changes and the reason.

        Returns:
            The audit records of the changes.

        Raises:
            CatalogueError: If a change violates a rule; nothing was changed.
            EditConflictError: If another operator changed the same entry, or
                the attempts ran out on concurrent edits; nothing was changed.
            PlatformUnavailableError: If the store was not reached; nothing was
                changed.
            OutcomeUnknownError: If the response was lost and a later read could
                not show the outcome; the changes may have taken effect.
            PlatformError: If the store rejected the write; nothing was changed.
        """
        transaction = Transaction(changes, editor)
        last_error = None
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                self._sleep(_compute_backoff_s(attempt))
            try:
                records = self._attempt(transaction)
            except (CatalogueError, PlatformError) as error:
                is_transient = isinstance(error, _TRANSIENT_ERRORS)
                if not is_transient and not transaction.is_outcome_unknown:
                    raise
                last_error = error
                continue
            if records:
                return records
        raise _make_final_error(transaction, changes, last_error)

    def preview(
        self, changes: tuple[Change, ...], editor: Editor
    ) -> tuple[AuditRecord, ...]:
        """Return the records that an edit would write, without writing them.

        Args:
            changes: Changes, each of a different entry.
            editor: Author of the changes and the reason.

        Raises:
            CatalogueError: If a change violates a rule.
            EditConflictError: If another operator changed the same entry.
            PlatformError: If the catalogue cannot be read.
        """
        transaction = Transaction(changes, editor)
        snapshot = self.load()
        # Records the revision that prepare() checks for conflicts.
        transaction.detect_stale_read(snapshot)
        edited = transaction.prepare(snapshot.catalogue)
        encode_catalogue(edited)
        return transaction.select_records(edited.records)

    def read_history(self, limit: int) -> tuple[AuditRecord, ...]:
        """Return the latest audit records, newest first.

        Args:
            limit: Maximum number of records to return.

        Raises:
            CatalogueError: If a stored value is corrupt.
            PlatformError: If a stored value cannot be read.
        """
        found = list(reversed(self.load().catalogue.records))
        for _ in range(MAX_HISTORY_SEGMENTS):
            if not found or len(found) >= limit or found[-1].revision == 1:
                break
            oldest = found[-1].revision
            start = archive.find_segment_start(oldest - 1)
            older = archive.read(self._client, start)
            older = [r for r in older if r.revision < oldest]
            if not older:
                break
            found.extend(reversed(older))
        return tuple(found[:limit])

    def _attempt(self, transaction: Transaction) -> tuple[AuditRecord, ...]:
        """Run one read and write cycle; return nothing to request a retry."""
        snapshot = self.load()
        if transaction.detect_stale_read(snapshot):
            raise PlatformReadError(
                "catalogue_stale", "a read returned an earlier revision"
            )
        catalogue = snapshot.catalogue
        if transaction.is_accepted(catalogue):
            return transaction.select_records(catalogue.records)
        start = transaction.find_archive_segment(snapshot)
        if start is not None:
            records = transaction.find_in_archive(
                archive.read(self._client, start)
            )
            if records:
                return records
        transaction.clear_if_superseded(snapshot)
        edited = transaction.prepare(catalogue)
        data = encode_catalogue(edited)
        if not self._write_segments(snapshot):
            return ()
        try:
            self._client.put(CATALOGUE_KEY, data, snapshot.key_position)
        except OutcomeUnknownError:
            transaction.record_unknown_write(snapshot)
            return ()
        return transaction.select_records(edited.records)

    def _write_segments(self, snapshot: Snapshot) -> bool:
        """Archive the records that the next write trims; False to retry."""
        try:
            for segment in archive.list_segments(snapshot.catalogue):
                archive.write(self._client, segment)
        except OutcomeUnknownError:
            return False
        return True


def _compute_backoff_s(attempt: int) -> float:
    max_backoff_s = min(BASE_BACKOFF_S * 2**attempt, MAX_BACKOFF_S)
    return random.uniform(max_backoff_s / 2, max_backoff_s)


def _make_final_error(
    transaction: Transaction, changes: tuple[Change, ...], last_error
) -> PlatformError | EditConflictError:
    if transaction.is_outcome_unknown:
        return OutcomeUnknownError(
            "edit_outcome_unknown",
            f"look in the history for change id {changes[0].change_id}",
        )
    if last_error is None or isinstance(last_error, CompareFailedError):
        return EditConflictError(
            "edit_contended", "too many concurrent edits; nothing was changed"
        )
    return last_error
