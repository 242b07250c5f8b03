"""Runs a daemon in the foreground, from its start to its graceful stop."""

import asyncio
import contextlib
import gc
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import click
import uvloop

from kumquatwalk.cli.exit_codes import ExitCode
from kumquatwalk.cli.process_end import end_process
from kumquatwalk.cli.stop_request import StopRequest
from kumquatwalk.cli.unused_signals import ignore_unused_signals
from kumquatwalk.daemon.process import Daemon
from kumquatwalk.logs import close_logs
from kumquatwalk.tasks import log_errors

__all__ = ["run_daemon", "serve_until_stopped"]

# Thresholds of the garbage collector, by generation. They are high because a
# request creates hardly any reference cycles, while a collection pauses all
# requests in progress.
GC_THRESHOLDS = (20000, 20, 20)


def run_daemon(
    make_daemon: Callable[[], Daemon], on_start: Callable[[Daemon], None]
) -> None:
    """Run a daemon until SIGTERM or SIGINT, then drain it and exit.

    This function does not return: the process exits with code 0 after a
    graceful stop, and with code 1 on an ``OSError``, such as a port in use. A
    signal that came before counts too, see ``hold_signals``.

    Args:
        make_daemon: Creates the daemon; called on the event loop.
        on_start: Called with the daemon once it serves requests.
    """
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        try:
            uvloop.run(_run(make_daemon, on_start))
        finally:
            close_logs()
    except OSError as error:
        with contextlib.suppress(OSError):
            click.echo(f"error: {error}", err=True)
        end_process(ExitCode.FAILED)


async def _run(
    make_daemon: Callable[[], Daemon], on_start: Callable[[Daemon], None]
) -> None:
    ignore_unused_signals()
    await serve_until_stopped(make_daemon, on_start)
    close_logs()
    end_process(ExitCode.OK)


async def serve_until_stopped(
    make_daemon: Callable[[], Daemon], on_start: Callable[[Daemon], None]
) -> None:
    """Serve until a signal asks to stop, then drain and close the daemon.

    A daemon that is asked to stop while it is created, or while it waits for an
    address, is not started. One that is asked to stop while it starts is
    drained as it is. Errors once it serves are logged and do not end it.

    Args:
        make_daemon: Creates the daemon, which may take long.
        on_start: Called with the daemon once it serves requests.
    """
    stop = StopRequest()
    if stop.is_made:
        return
    daemon = make_daemon()
    if await stop.has_come_so_far():
        return
    if not await _is_done_before_stop(daemon.bind(), stop):
        return
    if await _is_done_before_stop(daemon.start(), stop):
        with log_errors("on_start"):
            on_start(daemon)
    await stop.wait()
    with log_errors("drain"):
        await daemon.drain(stop.came_at)
    with log_errors("close"):
        await daemon.close()


async def _is_done_before_stop(
    step: Coroutine[Any, Any, None], stop: StopRequest
) -> bool:
    """Take a step of the start; cancel it and return False if a stop comes."""
    task = asyncio.create_task(step)
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait((task, stopping), return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    if task.done():
        task.result()
        return True
    task.cancel()
    return False
