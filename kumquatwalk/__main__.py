"""Entry point of ``python -m kumquatwalk``."""

import signal
import sys

from kumquatwalk.cli.held_signals import hold_signals


def _run() -> None:
    # Before all other imports: the platform may send them from the start on.
    if sys.argv[1:2] == ["daemon"]:
        hold_signals(signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    # pylint: disable-next=import-outside-toplevel
    from kumquatwalk.cli.main import main

    main(prog_name="kumquatwalk")


if __name__ == "__main__":
    _run()
