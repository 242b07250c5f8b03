"""Closed-loop load generator."""

import threading

from kumquatwalk.exception import KumquatwalkError
from kumquatwalk.proofs.chain import HANG_GUARD_S
from kumquatwalk.proofs.chain import ChainFleet
from kumquatwalk.standin.caller_answer import CallerAnswer

__all__ = ["ClosedLoopLoad"]


class ClosedLoopLoad:
    """Callers that each send one request at a time from their own thread.

    A caller waits 20 ms after a request that was not answered ``done``.

    Args:
        chain: Fleet to call.
        nodes: Node that receives the requests, for each caller.
        entry: Entry to call.
        name: Prefix of the names of requests.

    Attributes:
        answers: Answers received by all callers.
    """

    def __init__(
        self, chain: ChainFleet, nodes: list[str], entry: str, name: str
    ):
        self.answers: list[CallerAnswer] = []
        self._chain = chain
        self._entry = entry
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run, args=(node_id, f"{name}-{index}"), daemon=True
            )
            for index, node_id in enumerate(nodes)
        ]

    def start(self) -> None:
        """Start the threads of all callers."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop each caller once its request in progress is answered.

        Raises:
            KumquatwalkError: A caller did not end within 60 s (code
                ``hang_guard``).
        """
        self._stopped.set()
        for thread in self._threads:
            thread.join(HANG_GUARD_S)
            if thread.is_alive():
                raise KumquatwalkError(
                    "hang_guard", "a caller thread did not end in time"
                )

    def _run(self, node_id: str, name: str) -> None:
        number = 0
        while not self._stopped.is_set():
            number += 1
            request = f"{name}-{number}"
            answer = self._chain.send(node_id, self._entry, request, request)
            self.answers.append(answer)
            if answer.outcome != "done":
                self._stopped.wait(0.02)
