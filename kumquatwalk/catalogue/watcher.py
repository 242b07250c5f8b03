"""Watch of the catalogue key by a representative of a zone."""

import random
import threading
import time
from collections.abc import Callable

from kumquatwalk.catalogue.audit import AuditRecord
from kumquatwalk.catalogue.codec import decode_catalogue
from kumquatwalk.catalogue.offer import OfferOutcome
from kumquatwalk.catalogue.offer import OfferResult
from kumquatwalk.catalogue.replica import CatalogueReplica
from kumquatwalk.catalogue.store import CATALOGUE_KEY
from kumquatwalk.exception import CatalogueError
from kumquatwalk.exception import KumquatwalkError
from kumquatwalk.exception import PlatformError
from kumquatwalk.platform.key_value import KeyValue

__all__ = ["CatalogueWatcher"]

WATCH_WAIT_S = 20.0
ROLE_CHECK_INTERVAL_S = 0.5
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
JOIN_TIMEOUT_S = 1.0


class CatalogueWatcher:
    """Thread that waits for new documents while its node represents its zone.

    A document that is corrupt, invalid or older than the one in force is
    reported and not taken. After each wait without a change the key is read
    once, which finds a document whose key revision went back.

    Args:
        client: Client of the platform's service; used by this thread alone.
        replica: The node's copy of the catalogue.
        is_representative: Tells whether the node should watch.
        on_records: Called with the new records of each document taken; empty
            when it kept none of them.
        on_error: Called with each error, in the watcher's thread.
        wait_s: Longest single wait at the service.
    """

    def __init__(
        self,
        client,
        replica: CatalogueReplica,
        is_representative: Callable[[], bool],
        on_records: Callable[[tuple[AuditRecord, ...]], None],
        on_error: Callable[[KumquatwalkError], None],
        wait_s: float = WATCH_WAIT_S,
    ):
        self._client = client
        self._replica = replica
        self._is_representative = is_representative
        self._on_records = on_records
        self._on_error = on_error
        self._wait_s = wait_s
        self._key_revision = 0
        self._backoff_s = FIRST_BACKOFF_S
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="catalogue-watcher", daemon=True
        )

    def start(self) -> None:
        """Begin to watch in a thread of its own."""
        self._thread.start()

    def close(self) -> None:
        """Ask the thread to end; it may be held by a wait at the service."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(JOIN_TIMEOUT_S)

    def poll(self, now: float) -> None:
        """Wait once for a new document and offer it to the replica.

        Args:
            now: Present time in seconds, passed on to the replica.

        Raises:
            PlatformError: If the service could not be asked.
            CatalogueError: If the document is corrupt, invalid or older.
        """
        stored = self._client.watch(
            CATALOGUE_KEY, self._key_revision, self._wait_s
        )
        if stored is None:
            stored = self._client.get(CATALOGUE_KEY)
            self._check_present(stored)
            if stored is None or stored.revision == self._key_revision:
                return
        elif stored.revision <= self._key_revision:
            raise CatalogueError(
                "catalogue_stale",
                f"key revision {stored.revision} is not above"
                f" {self._key_revision}",
            )
        self._key_revision = stored.revision
        catalogue = decode_catalogue(stored.value)
        self._handle(self._replica.offer(catalogue, now), catalogue.records)

    def _run(self) -> None:
        while not self._stopping.is_set():
            if not self._is_representative():
                self._key_revision = 0
                self._stopping.wait(ROLE_CHECK_INTERVAL_S)
                continue
            try:
                self.poll(time.monotonic())
                self._backoff_s = FIRST_BACKOFF_S
            except (PlatformError, CatalogueError) as error:
                self._on_error(error)
                self._back_off()

    def _check_present(self, stored: KeyValue | None) -> None:
        revision = self._replica.current().revision
        if stored is None and revision > 0:
            raise CatalogueError(
                "catalogue_missing",
                f"the platform shows none, revision {revision} is in force",
            )

    def _handle(
        self, result: OfferResult, records: tuple[AuditRecord, ...]
    ) -> None:
        if result.outcome is OfferOutcome.OLDER:
            raise CatalogueError(
                "catalogue_reverted",
                f"the platform shows revision {result.offered_revision},"
                f" revision {result.previous_revision} is in force",
            )
        if result.outcome is OfferOutcome.INVALID:
            raise CatalogueError(result.code, result.message)
        if result:
            previous = result.previous_revision
            self._on_records(tuple(r for r in records if r.revision > previous))

    def _back_off(self) -> None:
        most = self._backoff_s
        self._backoff_s = min(most * 2, MAX_BACKOFF_S)
        self._stopping.wait(random.uniform(most / 2, most))
