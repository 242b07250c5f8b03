"""The ``standin target`` command."""

import faulthandler
import signal
import sys

import click

from kumquatwalk.standin.target import StandinTarget
from kumquatwalk.standin.target_settings import TargetSettings

__all__ = ["target"]

_EXIT_REQUESTS_ABORTED = 1


class AddressType(click.ParamType):
    """Parameter of the form ``HOST:PORT``."""

    name = "host:port"

    def convert(self, value, param, ctx) -> tuple[str, int]:
        """Parse a host and a port; click calls this."""
        if isinstance(value, tuple):
            return value
        host, colon, port = value.rpartition(":")
        if not colon or not host or not port.isdigit():
            self.fail(f"{value!r} is not HOST:PORT", param, ctx)
        if int(port) > 65535:
            self.fail(f"port {port} is not in 0..65535", param, ctx)
        return host, int(port)


class CallsType(click.ParamType):
    """Parameter of the form ``ENTRY=CHILD,CHILD``."""

    name = "entry=child,child"

    def convert(self, value, param, ctx) -> tuple[str, tuple[str, ...]]:
        """Parse an entry and its children; click calls this."""
        if isinstance(value, tuple):
            return value
        entry, equals, children = value.partition("=")
        if not equals or not entry:
            self.fail(f"{value!r} is not ENTRY=CHILD,CHILD", param, ctx)
        return entry, tuple(name for name in children.split(",") if name)


@click.command()
@click.option("--listen", type=AddressType(), default="127.0.0.1:0")
@click.option("--service", required=True, help="Service of the target.")
@click.option("--node", type=AddressType(), help="Node's local listener.")
@click.option("--slots", type=click.IntRange(1, 10_000), default=10)
@click.option("--connections", type=click.IntRange(1, 100_000), default=100)
@click.option(
    "--service-ms",
    type=click.FloatRange(0, min_open=True),
    default=10.0,
)
@click.option("--cold-start-ms", type=click.FloatRange(0), default=0.0)
@click.option(
    "--calls",
    type=CallsType(),
    multiple=True,
    help="Entries that an entry calls while it runs; repeatable.",
)
@click.option("--parallel-calls", "is_parallel", is_flag=True)
@click.option("--queue", type=click.IntRange(0), default=0)
@click.option("--queue-ms", type=click.FloatRange(0), default=50.0)
@click.option("--seed", type=int, default=0)
@click.option(
    "--record",
    "record_path",
    default="",
    help="File to append starts and ends of runs to.",
)
def target(listen, node, calls, **settings) -> None:
    """Run a stand-in target until SIGTERM or SIGINT, then drain it.

    Prints "listening HOST:PORT" when ready. The exit status is 1 if requests
    were cut off when the target closed.
    """
    host, port = listen
    node_host, node_port = node or ("", 0)
    standin = StandinTarget(
        TargetSettings(
            host=host,
            port=port,
            node_host=node_host,
            node_port=node_port,
            calls=dict(calls),
            **settings,
        )
    )
    faulthandler.register(signal.SIGUSR1)  # shows where it hangs
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: standin.drain())
    standin.start()
    click.echo(f"listening {host}:{standin.port}")
    standin.wait_closed()
    sys.exit(0 if standin.is_drained else _EXIT_REQUESTS_ABORTED)
