"""Threads that serve HTTP connections."""

import queue
import threading
import time
from typing import Any

__all__ = ["WorkerPool"]

_IDLE_MAX_S = 30.0
_QUEUE_MAX = 4096


class WorkerPool:
    """Thread pool for cheroot that starts threads when they are needed.

    Offers the methods and attributes that cheroot asks of a pool. A thread
    that has been idle for ``_IDLE_MAX_S`` ends.

    Args:
        name: Prefix of the threads' names.
        workers_max: Most threads at once.
    """

    def __init__(self, name: str, workers_max: int):
        self.min = 0
        self.max = workers_max
        self._name = name
        self._queue: queue.SimpleQueue = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._threads = 0
        self._idle = 0
        self._is_stopped = False

    def start(self) -> None:
        """Do nothing; threads start when they are needed."""

    def put(self, connection: Any) -> None:
        """Hand a connection with something to read to a thread.

        Raises:
            queue.Full: Too many connections wait.
        """
        waiting = self._queue.qsize()
        if waiting >= _QUEUE_MAX:
            raise queue.Full
        with self._lock:
            is_short = self._idle <= waiting and self._threads < self.max
            if is_short:
                self._threads += 1
        self._queue.put(connection)
        if is_short:
            thread = threading.Thread(
                target=self._work, name=self._name, daemon=True
            )
            thread.start()

    @property
    def idle(self) -> int:
        """Threads that wait for a connection."""
        return self._idle

    @property
    def busy(self) -> int:
        """Threads that serve a connection."""
        return self._threads - self._idle

    @property
    def is_short(self) -> bool:
        """Whether connections wait although all threads are in use."""
        return self._threads >= self.max and self._queue.qsize() > 0

    @property
    def is_stopped(self) -> bool:
        """Whether ``stop`` was called."""
        return self._is_stopped

    def stop(self, timeout: float = 5.0) -> None:
        """End all threads once they have served what they hold.

        Args:
            timeout: Longest wait in seconds.
        """
        self._is_stopped = True
        for _ in range(self._threads):
            self._queue.put(None)
        give_up_at = time.monotonic() + timeout
        while self._threads and time.monotonic() < give_up_at:
            time.sleep(0.01)

    def _work(self) -> None:
        while True:
            connection = self._wait()
            if connection is None:
                return
            _serve(connection)
            del connection

    def _wait(self) -> Any:
        with self._lock:
            self._idle += 1
        try:
            connection = self._queue.get(timeout=_IDLE_MAX_S)
        except queue.Empty:
            connection = None
        with self._lock:
            self._idle -= 1
            if connection is None:
                self._threads -= 1
        return connection


def _serve(connection: Any) -> None:
    is_kept = False
    try:
        is_kept = connection.communicate()
    except OSError:
        pass
    if is_kept:
        connection.server.put_conn(connection)
    else:
        connection.close()
