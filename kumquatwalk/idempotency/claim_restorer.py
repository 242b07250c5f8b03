"""Writes claims back to a store that has lost them."""

import asyncio
import random
from collections.abc import Sequence

from kumquatwalk.clock import read_now
from kumquatwalk.exception import CompareFailedError
from kumquatwalk.exception import PlatformError
from kumquatwalk.idempotency.claim import Claim
from kumquatwalk.idempotency.claim import decode_claim
from kumquatwalk.idempotency.claim import encode_claim
from kumquatwalk.idempotency.claim_sweeper import MAX_KEYS_PER_COMMIT
from kumquatwalk.idempotency.held_claims import HeldClaims
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level
from kumquatwalk.platform.store import StoreClient
from kumquatwalk.platform.store_items import Put
from kumquatwalk.platform.store_items import StoreItem
from kumquatwalk.platform.store_position import ABSENT
from kumquatwalk.tasks import start_task

__all__ = ["ClaimRestorer"]

RETRY_INTERVAL_S = 0.3
FAILURES_MAX = 20

KeyedClaim = tuple[str, Claim]


class ClaimRestorer:
    """Restores the claims of this node after a restore of the store.

    Claims are written newest first. The store has kept all claims up to the
    time of its copy, so the first own claim that is found ends the work.

    Args:
        store: Client of the store.
        held: Claims that this node has obtained.
    """

    def __init__(self, store: StoreClient, held: HeldClaims):
        self._store = store
        self._held = held
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Do nothing: the work begins with a restore."""

    async def close(self) -> None:
        """Cancel the work."""
        if self._task is not None:
            self._task.cancel()

    def handle_restore(self) -> None:
        """Write the claims back, as the store was restored from a copy."""
        if self._task is not None:
            self._task.cancel()
        self._task = start_task(self._run(), "claim_restorer")

    async def _run(self) -> None:
        claims = self._held.list_newest_first(read_now())
        written, failures = 0, 0
        while claims and failures < FAILURES_MAX:
            batch = claims[:MAX_KEYS_PER_COMMIT]
            try:
                is_complete = await self._write_batch(batch)
            except PlatformError as error:
                failures += 1
                log_event("claims_not_restored", Level.WARNING, code=error.code)
                delay_s = RETRY_INTERVAL_S * random.uniform(0.7, 1.0)
                await asyncio.sleep(delay_s)
                continue
            written += len(batch)
            claims = [] if is_complete else claims[len(batch) :]
        log_event("claims_restored", written=written, left=len(claims))

    async def _write_batch(self, batch: Sequence[KeyedClaim]) -> bool:
        """Write claims; return whether the store has all older ones."""
        try:
            await self._store.commit(
                [Put(key, encode_claim(claim)) for key, claim in batch],
                expected={key: ABSENT for key, _ in batch},
            )
            return False
        except CompareFailedError:
            pass  # some of the claims are there
        for key, claim in batch:
            item = await self._store.get(key)
            if _is_stored(claim, item):
                return True
            # A claim that was made since the restore is later than this one.
            position = ABSENT if item is None else item.position
            await self._store.commit(
                [Put(key, encode_claim(claim))], expected={key: position}
            )
        return False


def _is_stored(claim: Claim, item: StoreItem | None) -> bool:
    try:
        return item and decode_claim(item.value).claim_id == claim.claim_id
    except PlatformError:
        return False
