"""A node's own copy of the catalogue, which never goes back."""

import threading
from collections.abc import Callable

from kumquatwalk.catalogue.audit import AuditRecord
from kumquatwalk.catalogue.check import check_catalogue
from kumquatwalk.catalogue.document import EMPTY_CATALOGUE
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.offer import OfferOutcome
from kumquatwalk.catalogue.offer import OfferResult
from kumquatwalk.exception import CatalogueError

__all__ = ["CatalogueReplica"]

MAX_KEPT_RECORDS = 256


class CatalogueReplica:
    """Copy of the catalogue in force at a node; safe for several threads.

    Only a higher revision with valid content replaces the copy. Listeners run
    in the thread that changed it, one at a time and in the order of revisions;
    they must not block and must not offer.

    Args:
        catalogue: Catalogue to begin with.

    Example:
        >>> replica = CatalogueReplica()
        >>> bool(replica.offer(Catalogue(revision=3, entries={}), now=0.0))
        True
        >>> replica.offer(Catalogue(revision=2, entries={}), now=1.0).outcome
        <OfferOutcome.OLDER: 'older'>
    """

    def __init__(self, catalogue: Catalogue = EMPTY_CATALOGUE):
        self._current = catalogue
        self._changed_at: float | None = None
        self._lock = threading.Lock()
        self._listeners: tuple[Callable[[Catalogue], None], ...] = ()

    @property
    def changed_at(self) -> float | None:
        """Time of the last change; None before the first."""
        return self._changed_at

    def current(self) -> Catalogue:
        """Return the catalogue in force; takes no lock."""
        return self._current

    def add_listener(self, listener: Callable[[Catalogue], None]) -> None:
        """Call the listener with each catalogue that comes into force."""
        with self._lock:
            self._listeners = (*self._listeners, listener)

    def offer(self, catalogue: Catalogue, now: float) -> OfferResult:
        """Take the catalogue if its revision is higher and it is valid.

        Args:
            catalogue: Catalogue offered by the platform or a peer.
            now: Present time in seconds.

        Returns:
            What was done; true when the catalogue came into force.
        """
        with self._lock:
            return self._offer(catalogue, now)

    def apply(self, record: AuditRecord, now: float) -> OfferResult:
        """Apply one record if it is the next one.

        Args:
            record: Record received from a peer.
            now: Present time in seconds.

        Returns:
            What was done. After a gap or an invalid record the caller should
            ask a peer for the whole catalogue.
        """
        return self.apply_all((record,), now)

    def apply_all(
        self, records: tuple[AuditRecord, ...], now: float
    ) -> OfferResult:
        """Apply records in order, all or none; those in force are passed over.

        Records of one write belong into one call, because the states between
        them need not be valid.

        Args:
            records: Records, oldest first, without gaps.
            now: Present time in seconds.

        Returns:
            What was done. After a gap or an invalid record the caller should
            ask a peer for the whole catalogue.
        """
        with self._lock:
            present = self._current
            last = records[-1].revision if records else 0
            new = [r for r in records if r.revision > present.revision]
            if not new:
                return self._refuse_old(last)
            try:
                following = _follow(present, new)
            except CatalogueError as error:
                gap = error.code == "revision_gap"
                outcome = OfferOutcome.GAP if gap else OfferOutcome.INVALID
                return self._refuse(outcome, last, error)
            return self._offer(following, now)

    def records_after(self, revision: int) -> tuple[AuditRecord, ...] | None:
        """Return the records that lead from a revision to the present one.

        Args:
            revision: Revision that a peer has.

        Returns:
            Records, oldest first, empty for a peer that is up to date; None
            when some are no longer kept, so that the peer needs the whole
            catalogue.
        """
        present = self._current
        missing = present.revision - revision
        if missing <= 0:
            return ()
        if missing > len(present.records):
            return None
        return present.records[-missing:]

    def _offer(self, catalogue: Catalogue, now: float) -> OfferResult:
        previous = self._current.revision
        if catalogue.revision <= previous:
            return self._refuse_old(catalogue.revision)
        try:
            check_catalogue(catalogue)
        except CatalogueError as error:
            return self._refuse(OfferOutcome.INVALID, catalogue.revision, error)
        self._current = catalogue
        self._changed_at = now
        for listener in self._listeners:
            listener(catalogue)
        return OfferResult(OfferOutcome.TAKEN, previous, catalogue.revision)

    def _refuse_old(self, revision: int) -> OfferResult:
        present = self._current.revision
        same = revision == present
        outcome = OfferOutcome.SAME if same else OfferOutcome.OLDER
        message = f"revision {revision} is not above {present}"
        return OfferResult(outcome, present, revision, message=message)

    def _refuse(
        self, outcome: OfferOutcome, revision: int, error: CatalogueError
    ) -> OfferResult:
        present = self._current.revision
        return OfferResult(
            outcome, present, revision, error.code, error.message
        )


def _follow(present: Catalogue, records: list[AuditRecord]) -> Catalogue:
    entries = dict(present.entries)
    revision = present.revision
    for record in records:
        revision += 1
        if record.revision != revision:
            raise CatalogueError(
                "revision_gap", f"{record.revision} does not follow"
            )
        if entries.pop(record.entry_name, None) != record.before:
            raise CatalogueError(
                "records_broken",
                f"record {revision} does not fit {record.entry_name}",
            )
        if record.after is not None:
            entries[record.entry_name] = record.after
    kept = (*present.records, *records)[-MAX_KEPT_RECORDS:]
    return Catalogue(revision, entries, kept)
