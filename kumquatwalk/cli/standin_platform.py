"""The ``standin platform`` command."""

import signal
import threading

import click

__all__ = ["platform"]


@click.command()
@click.option(
    "--listen",
    metavar="HOST:PORT",
    default="127.0.0.1:0",
    show_default=True,
    envvar="KUMQUATWALK_STANDIN_PLATFORM_LISTEN",
    help="Address to listen on; port 0 lets the system choose.",
)
def platform(listen: str) -> None:
    """Run a stand-in for the platform's key-value service, in memory.

    Prints "listening HOST:PORT" when ready and stops on SIGTERM or SIGINT.
    GET /stats returns the calls by kind. PUT /faults with a JSON object sets
    the faults: outage, delay_ms, lose_answers, stale_reads, cut_hosts.
    """
    # pylint: disable-next=import-outside-toplevel
    from kumquatwalk.standin.platform_server import PlatformServer

    host, _, port = listen.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65_535:
        raise click.BadParameter(
            f"{listen!r} is not HOST:PORT", param_hint="--listen"
        )
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    server = PlatformServer(host, int(port))
    server.start()
    click.echo(f"listening {server.address}")
    stopped.wait()
    server.close()
