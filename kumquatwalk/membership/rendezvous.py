"""Rendezvous: finds first peers through the platform."""

import random
import threading
import time

from kumquatwalk.membership.rendezvous_config import RendezvousConfig
from kumquatwalk.membership.rendezvous_keeper import RendezvousKeeper
from kumquatwalk.membership.service import Membership
from kumquatwalk.membership.store import Store

__all__ = ["Rendezvous"]


class Rendezvous:
    """Thread that holds and reads the rendezvous keys in the platform."""

    def __init__(
        self, config: RendezvousConfig, membership: Membership, store: Store
    ):
        self._membership = membership
        self._keeper = RendezvousKeeper(
            config,
            store,
            membership.set_seeds,
            random.Random(),
            time.monotonic(),
        )
        self._closed = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="rendezvous", daemon=True
        )

    def start(self) -> None:
        """Start the thread; the membership service has to be started."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread; its keys go when their lease lapses."""
        self._closed.set()
        self._thread.join()

    def _run(self) -> None:
        wait_s = 0.0
        while not self._closed.wait(wait_s):
            snapshot = self._membership.snapshot()
            wait_s = self._keeper.step(snapshot, time.monotonic())
