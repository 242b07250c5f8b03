"""Background tasks whose failures are logged."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level

__all__ = ["start_task"]


def start_task(work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task:
    """Start a task that logs the exception that ends it, if any.

    Args:
        work: Coroutine to run.
        name: Name of the task in the log.

    Returns:
        The task. Cancellation is not logged.
    """
    task = asyncio.get_running_loop().create_task(work, name=name)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        log_event(
            "task_failed",
            Level.ERROR,
            task=task.get_name(),
            error=f"{type(error).__name__}: {error}",
        )
