"""Edits of the catalogue during a soak, and the check that they stay."""

import dataclasses
import random
import secrets
import threading
import time
from collections.abc import Collection
from collections.abc import Iterable

from kumquatwalk.catalogue.audit import AuditRecord
from kumquatwalk.catalogue.change import Change
from kumquatwalk.catalogue.editor import Editor
from kumquatwalk.catalogue.store import CatalogueStore
from kumquatwalk.exception import KumquatwalkError
from kumquatwalk.history import Violation
from kumquatwalk.platform.blocking_store import BlockingStoreClient

__all__ = ["AcceptedEdit", "CatalogueEdits", "check_edits_kept"]

PAUSE_S = (0.2, 0.8)
# An edit that the store loses sooner after it was accepted may not have reached
# any node, so that no one can write it back, in seconds.
REACH_S = 1.0
ENTRY = "browse"
JOIN_TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedEdit:
    """Edit that the store has acknowledged.

    Attributes:
        change_id: Identifier of the change.
        accepted_at: Time of the acknowledgement, in seconds.
    """

    change_id: str
    accepted_at: float


class CatalogueEdits:
    """Edits one entry at random intervals, on a thread of its own.

    Args:
        address: Address of the store as ``host:port``.
        seed: Seed of the intervals.

    Attributes:
        accepted: Edits that were accepted, in order.
    """

    def __init__(self, address: str, seed: int):
        self._store = CatalogueStore(BlockingStoreClient(address))
        self._rng = random.Random(f"{seed}-edits")
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.accepted: list[AcceptedEdit] = []

    def start(self) -> None:
        """Start to edit."""
        self._thread.start()

    def close(self) -> None:
        """Stop after the edit in progress."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join(JOIN_TIMEOUT_S)

    def read_history(self) -> tuple[AuditRecord, ...]:
        """Return the records of all edits that the store has."""
        return self._store.read_history(1_000_000)

    def _run(self) -> None:
        while not self._stopped.wait(self._rng.uniform(*PAUSE_S)):
            try:
                self._edit()
            except KumquatwalkError:
                pass  # not accepted, or the outcome is unknown

    def _edit(self) -> None:
        entry = self._store.load().catalogue.entries[ENTRY]
        in_flight = 400 + entry.limits.in_flight % 100 + 1
        limits = dataclasses.replace(entry.limits, in_flight=in_flight)
        entry = dataclasses.replace(entry, limits=limits)
        change_id = secrets.token_hex(16)
        editor = Editor("ops/soak", "soak", int(time.time() * 1000), True)
        self._store.edit((Change(ENTRY, entry, change_id),), editor)
        self.accepted.append(AcceptedEdit(change_id, time.monotonic()))


def check_edits_kept(
    accepted: Iterable[AcceptedEdit],
    history: Iterable[AuditRecord],
    outages: Collection[float],
) -> list[Violation]:
    """Check that the store has all accepted edits at the end.

    Args:
        accepted: Edits that were accepted.
        history: Records that the store has.
        outages: Times at which outages began that ended with a restore, in
            seconds. Edits within ``REACH_S`` before one are left out.
    """
    kept = {record.change_id for record in history}
    return [
        Violation("edit_lost", edit.change_id, f"at {edit.accepted_at:.2f} s")
        for edit in accepted
        if edit.change_id not in kept
        and not any(0.0 <= at - edit.accepted_at < REACH_S for at in outages)
    ]
