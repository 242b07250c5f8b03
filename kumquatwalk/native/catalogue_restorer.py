"""Writes accepted edits back to a store that has lost them."""

import asyncio
import random
from collections.abc import Callable

from kumquatwalk.catalogue.branches import join_branches
from kumquatwalk.catalogue.codec import decode_catalogue
from kumquatwalk.catalogue.codec import encode_catalogue
from kumquatwalk.catalogue.document import EMPTY_CATALOGUE
from kumquatwalk.catalogue.store import CATALOGUE_KEY
from kumquatwalk.daemon.config_holder import ConfigHolder
from kumquatwalk.exception import CatalogueError
from kumquatwalk.exception import PlatformError
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level
from kumquatwalk.platform.store import StoreClient
from kumquatwalk.platform.store_items import Put
from kumquatwalk.platform.store_position import ABSENT
from kumquatwalk.tasks import start_task

__all__ = ["CatalogueRestorer"]

# Times after a restore at which the store's catalogue is compared with the one
# in force, in seconds: a node may learn of a lost edit from another node only
# after the first.
CHECKS_AT_S = (0.0, 2.0, 10.0)
# Range of the random delay before each check, in seconds, so that one node
# mostly finds the work done by another.
JITTER_S = 0.3
RETRY_INTERVAL_S = 0.3
# Attempts of one check: enough for an outage of some seconds.
ATTEMPTS_MAX = 20


class CatalogueRestorer:
    """Compares the store's catalogue with the one in force after a restore.

    An accepted edit must stay in force. Nodes keep the catalogue that they
    have, and this class writes it back, joined with the edits that were
    accepted since the restore. Writes are conditional, so any number of nodes
    may do it.

    Args:
        store: Client of the store.
        configs: Holder of the fleet configuration.
        is_responsible: Returns whether this node is among those that write.
    """

    def __init__(
        self,
        store: StoreClient,
        configs: ConfigHolder,
        is_responsible: Callable[[], bool],
    ):
        self._store = store
        self._configs = configs
        self._is_responsible = is_responsible
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Do nothing: the work begins with a restore."""

    async def close(self) -> None:
        """Cancel the checks that are left."""
        if self._task is not None:
            self._task.cancel()

    def handle_restore(self) -> None:
        """Begin the checks, as the store was restored from a copy."""
        if self._task is not None:
            self._task.cancel()
        self._task = start_task(self._run(), "catalogue_restorer")

    async def _run(self) -> None:
        previous_s = 0.0
        for at_s in CHECKS_AT_S:
            jitter_s = random.uniform(0.0, JITTER_S)
            await asyncio.sleep(at_s - previous_s + jitter_s)
            previous_s = at_s
            if self._is_responsible():
                await self._check_with_retries()

    async def _check_with_retries(self) -> None:
        for _ in range(ATTEMPTS_MAX):
            try:
                await self._check()
                return
            except CatalogueError as error:
                log_event(
                    "catalogue_unreadable", Level.ERROR, error=error.message
                )
                return
            except PlatformError as error:
                # Another node may have written it, or the store is away.
                last_error = error
            await asyncio.sleep(RETRY_INTERVAL_S * random.uniform(0.7, 1.0))
        log_event(
            "catalogue_not_restored",
            Level.ERROR,
            code=last_error.code,
            error=last_error.message,
        )

    async def _check(self) -> None:
        document = self._configs.document
        if document is None:
            return
        item = await self._store.get(CATALOGUE_KEY)
        if item is None:
            position, stored = ABSENT, EMPTY_CATALOGUE
        else:
            position, stored = item.position, decode_catalogue(item.value)
        held = decode_catalogue(document.document)
        joined, rejected = join_branches(held, stored)
        for record in rejected:
            log_event(
                "catalogue_edit_rejected",
                Level.ERROR,
                entry=record.entry_name,
                author=record.author,
                change=record.change_id,
            )
        if joined is stored:
            return
        await self._store.commit(
            [Put(CATALOGUE_KEY, encode_catalogue(joined))],
            expected={CATALOGUE_KEY: position},
        )
        log_event(
            "catalogue_restored",
            Level.WARNING,
            revision=joined.revision,
            held=held.revision,
            stored=stored.revision,
        )
