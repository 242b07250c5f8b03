"""Runs in progress at the target on this VM."""

from kumquatwalk.node.run import Run

__all__ = ["RunTable"]


class RunTable:
    """Runs in progress by their names.

    Each operation is one dictionary access, which is atomic.
    """

    def __init__(self):
        self._runs: dict[str, Run] = {}

    def add(self, run: Run) -> None:
        """Add a run that starts."""
        self._runs[run.run_id] = run

    def remove(self, run: Run) -> None:
        """Remove a run that has ended; its name is refused from now on."""
        self._runs.pop(run.run_id, None)

    def find(self, run_id: str) -> Run | None:
        """Return the run of that name; None when it is not in progress."""
        return self._runs.get(run_id)

    def __len__(self) -> int:
        return len(self._runs)
