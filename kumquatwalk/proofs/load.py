"""Load of callers that send one request after the other."""

import threading

from kumquatwalk.exception import KumquatwalkError
from kumquatwalk.proofs.chain import HANG_GUARD_S
from kumquatwalk.proofs.chain import ChainFleet
from kumquatwalk.standin.caller_answer import CallerAnswer

__all__ = ["Load"]


class Load:
    """Callers on their own threads, each with its own requests.

    Args:
        chain: Fleet to call.
        nodes: Entry node of each caller.
        entry: Entry called.
        name: Prefix of the requests' names.

    Attributes:
        answers: All answers received.
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
        """Start all callers."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop the callers after the request that each has in progress.

        Raises:
            KumquatwalkError: One did not end in time (code ``hang_guard``).
        """
        self._stopped.set()
        for thread in self._threads:
            thread.join(HANG_GUARD_S)
            if thread.is_alive():
                raise KumquatwalkError("hang_guard", "a caller did not end")

    def _run(self, node_id: str, name: str) -> None:
        number = 0
        while not self._stopped.is_set():
            number += 1
            request = f"{name}-{number}"
            answer = self._chain.send(node_id, self._entry, request, request)
            self.answers.append(answer)
            if answer.outcome != "done":
                self._stopped.wait(0.02)
