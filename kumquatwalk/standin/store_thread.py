"""In-memory store that runs on its own thread and event loop."""

import asyncio
import threading

from kumquatwalk.standin.kv_store import KvStore
from kumquatwalk.standin.store_faults import StoreFaults

__all__ = ["StoreThread"]

_STOP_TIMEOUT_S = 5.0


class StoreThread:
    """Runs a ``KvStore`` on a thread, for use from blocking code.

    Example:
        >>> store = StoreThread()
        >>> store.start()  # doctest: +SKIP
        >>> store.address  # doctest: +SKIP
        '127.0.0.1:40123'
    """

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="standin-store", daemon=True
        )
        self._store: KvStore | None = None

    @property
    def address(self) -> str:
        """Listening address as ``host:port``, known once started."""
        return str(self._store.address)

    def start(self) -> None:
        """Start the thread and serve on a free port."""
        self._thread.start()
        self._store = KvStore()
        self._run(self._store.start())

    def close(self) -> None:
        """Stop serving; further calls have no effect."""
        if not self._thread.is_alive():
            return
        self._run(self._store.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_STOP_TIMEOUT_S)
        self._loop.close()

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the injected faults.

        Args:
            faults: Faults that apply to calls from now on.
        """
        self._run(self._replace_faults(faults))

    def count_calls(self, kind: str) -> int:
        """Return the number of calls of one kind so far.

        Args:
            kind: First segment of the path, such as ``kv-txn``.
        """
        return self._store.calls.get(kind, 0)

    async def _replace_faults(self, faults: StoreFaults) -> None:
        self._store.faults = faults

    def _run(self, coroutine) -> None:
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        future.result(_STOP_TIMEOUT_S)
