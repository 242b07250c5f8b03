"""The ``standin platform`` command."""

import asyncio
import signal

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
    """Run an in-memory stand-in for the platform's store.

    Prints "listening HOST:PORT" when ready and stops on SIGTERM or SIGINT.
    GET /stats returns the number of calls by kind. PUT /faults with a JSON
    object injects faults: outage, delay_ms, lose_answers, stale_reads,
    cut_hosts.
    """
    # pylint: disable=import-outside-toplevel
    from kumquatwalk.exception import PlatformFormatError
    from kumquatwalk.platform.settings import decode_address

    try:
        address = decode_address(listen, "--listen")
    except PlatformFormatError as error:
        raise click.BadParameter(
            error.message, param_hint="--listen"
        ) from error
    asyncio.run(_run(address))


async def _run(address) -> None:
    # pylint: disable-next=import-outside-toplevel
    from kumquatwalk.standin.kv_store import KvStore

    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    store = KvStore(address)
    await store.start()
    click.echo(f"listening {store.address}")
    await stop_requested.wait()
    await store.close()
