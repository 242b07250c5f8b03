"""Daemon behind a proxy: ``python -m kumquatwalk.standin.proxied_daemon``.

The first argument is the address at which the process accepts links; it
announces the one that its settings name. The others are those of the command
line of kumquatwalk.
"""

import signal
import sys

from kumquatwalk.cli.held_signals import hold_signals

__all__ = []


def _run(listener: str, arguments: list[str]) -> None:
    # Before all other imports, as in ``python -m kumquatwalk``.
    hold_signals(signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    # pylint: disable=import-outside-toplevel
    from kumquatwalk.address import Address
    from kumquatwalk.cli.main import main
    from kumquatwalk.daemon import core
    from kumquatwalk.standin.proxied_link_server import make_proxied_type

    host, _, port = listener.rpartition(":")
    core.LinkServer = make_proxied_type(Address(host, int(port)))
    main.main(arguments, prog_name="kumquatwalk")


if __name__ == "__main__":
    _run(sys.argv[1], sys.argv[2:])
