"""Background task that removes expired claims from the store."""

import asyncio
import time
from collections.abc import Callable

from kumquatwalk.exception import PlatformError
from kumquatwalk.idempotency.claim import CLAIM_PREFIX
from kumquatwalk.idempotency.claim import decode_claim
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level
from kumquatwalk.platform.store import StoreClient
from kumquatwalk.platform.store_items import StoreItem
from kumquatwalk.tasks import keep_running

__all__ = ["CLAIM_RETENTION_S", "ClaimSweeper", "find_expired_claims"]

# Retention period of a claim: for one day a caller can ask again for the
# outcome of its request.
CLAIM_RETENTION_S = 86_400.0
SWEEP_INTERVAL_S = 3_600.0
# The store accepts at most 32 keys in one transaction.
MAX_KEYS_PER_COMMIT = 32
_MS_PER_S = 1000


class ClaimSweeper:
    """Removes expired claims at intervals, from one node of the fleet.

    Args:
        store: Client of the platform's store.
        is_sweeper: Returns whether this node is the one that sweeps. It is
            called before each sweep.
    """

    def __init__(self, store: StoreClient, is_sweeper: Callable[[], bool]):
        self._store = store
        self._is_sweeper = is_sweeper
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the background task."""
        self._task = keep_running(self._run, "claim_sweeper")

    async def close(self) -> None:
        """Cancel the background task."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            if not self._is_sweeper():
                continue
            try:
                await self._sweep()
            except PlatformError as error:
                log_event(
                    "claim_sweep_failed",
                    Level.WARNING,
                    code=error.code,
                    error=error.message,
                )

    async def _sweep(self) -> None:
        snapshot = await self._store.list_items(CLAIM_PREFIX)
        expired = find_expired_claims(
            snapshot.items, int(time.time() * _MS_PER_S)
        )
        for start in range(0, len(expired), MAX_KEYS_PER_COMMIT):
            keys = expired[start : start + MAX_KEYS_PER_COMMIT]
            await self._store.commit(deletions=keys)
        log_event("claims_swept", kept=len(snapshot.items) - len(expired))


def find_expired_claims(items: tuple[StoreItem, ...], now_ms: int) -> list[str]:
    """Return the keys of the claims whose retention period is over.

    A claim that cannot be decoded is logged and left in the store.

    Args:
        items: All claims in the store.
        now_ms: Current Unix time in milliseconds.
    """
    expired = []
    for item in items:
        try:
            claim = decode_claim(item.value)
        except PlatformError as error:
            log_event(
                "claim_unreadable",
                Level.WARNING,
                key=item.key,
                error=error.message,
            )
            continue
        if now_ms - claim.claimed_at_ms > CLAIM_RETENTION_S * _MS_PER_S:
            expired.append(item.key)
    return expired
