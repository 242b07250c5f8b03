"""The ``node`` command: the daemon on a target's VM."""

import signal
import sys
import threading

import click

from kumquatwalk.node.options import node_options
from kumquatwalk.node.settings import NodeSettings

__all__ = ["node"]


@click.command()
@node_options
def node(settings: NodeSettings) -> None:
    """Run a node until it is told to stop by SIGTERM or SIGINT."""
    from kumquatwalk.logs import close_logs  # pylint: disable=C0415
    from kumquatwalk.logs import start_logs  # pylint: disable=C0415
    from kumquatwalk.node.process import Node  # pylint: disable=C0415

    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    start_logs(sys.stderr, settings.log_level, settings.node_id)
    process = Node(settings)
    process.start()
    click.echo(
        f"listening http={settings.host}:{process.http_port}"
        f" local={settings.local_host}:{process.local_port}"
        f" link={settings.host}:{process.link_port}"
        f" gossip={settings.host}:{process.gossip_port}"
    )
    sys.stdout.flush()
    stopping.wait()
    process.drain()
    process.close()
    close_logs()
