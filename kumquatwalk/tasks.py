"""Background tasks, and steps of a stop, whose failures are logged."""

import asyncio
import contextlib
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
from typing import Any

from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level

__all__ = ["keep_running", "log_errors", "start_task"]

# Pause before the work of a task that has failed begins again, in seconds.
RESTART_DELAY_S = 0.5


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


def keep_running(
    make_work: Callable[[], Coroutine[Any, Any, Any]], name: str
) -> asyncio.Task:
    """Start a task whose work begins again after an unexpected error.

    Without it, one message that its work cannot handle would end the work for
    the rest of the process, which goes on as if nothing had happened.

    Args:
        make_work: Returns a coroutine that does the work; called again after
            each error, which is logged. Work that returns is done.
        name: Name of the task in the log.

    Returns:
        The task. Cancelling it ends the work.
    """
    return start_task(_restart_after_errors(make_work, name), name)


@contextlib.contextmanager
def log_errors(name: str) -> Iterator[None]:
    """Log an unexpected error in the context, and go on after it.

    For the steps of a stop, each of which is to be taken whatever became of the
    others.

    Args:
        name: Name of the step in the log.
    """
    try:
        yield
    except Exception as error:  # pylint: disable=broad-exception-caught
        _log_error(name, error)


async def _restart_after_errors(
    make_work: Callable[[], Coroutine[Any, Any, Any]], name: str
) -> None:
    while True:
        try:
            await make_work()
            return
        except Exception as error:  # pylint: disable=broad-exception-caught
            _log_error(name, error)
        await asyncio.sleep(RESTART_DELAY_S)


def _log_failure(task: asyncio.Task) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        _log_error(task.get_name(), error)


def _log_error(name: str, error: BaseException) -> None:
    log_event(
        "task_failed",
        Level.ERROR,
        task=name,
        error=f"{type(error).__name__}: {error}",
    )
