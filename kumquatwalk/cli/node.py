"""The ``node`` command: a node with the native interface."""

import signal
import sys

import click

from kumquatwalk.cli.held_signals import hold_signals
from kumquatwalk.cli.standard_streams import open_standard_streams
from kumquatwalk.cli.unused_signals import UNUSED_SIGNALS
from kumquatwalk.native.options import node_options
from kumquatwalk.native.settings import NodeSettings

__all__ = ["node"]


@click.command()
@node_options
def node(settings: NodeSettings) -> None:
    """Run a node until SIGTERM or SIGINT."""
    hold_signals(signal.SIGTERM, signal.SIGINT, *UNUSED_SIGNALS)
    open_standard_streams()
    # Deferred so that these imports do not slow down other commands.
    # pylint: disable=import-outside-toplevel
    from kumquatwalk.cli.daemon_run import run_daemon
    from kumquatwalk.composition import make_daemon
    from kumquatwalk.logs import start_logs
    from kumquatwalk.logs.bounded_writer import BoundedWriter

    start_logs(
        BoundedWriter(sys.stderr.fileno()), settings.log_level, settings.node_id
    )
    run_daemon(lambda: make_daemon(settings), _print_addresses)


def _print_addresses(daemon) -> None:
    settings = daemon.core.settings
    host = settings.link_listener.host
    local = settings.heartbeat_listener.host
    click.echo(
        f"listening http={host}:{daemon.caller_port}"
        f" local={local}:{daemon.local_port}"
        f" link={host}:{daemon.core.link_server.port}"
    )
    sys.stdout.flush()
