"""Entry point of ``python -m kumquatwalk``, and of the deployed daemon.

The platform runs this file itself, by ``python3 -S``: the interpreter then
leaves ``site`` and its path files, most of its start, to this program, which
holds signals first.
"""

# Built in, while ``signal`` imports modules from files.
import _signal
import sys

_HELD = (
    _signal.SIGHUP,
    _signal.SIGTERM,
    _signal.SIGINT,
    # Without a use, see ``cli.unused_signals``.
    _signal.SIGUSR1,
    _signal.SIGUSR2,
    _signal.SIGALRM,
)


def _hold_early_signals() -> set[int]:
    """Hold the signals of a daemon, and return those that come from now on."""
    come: set[int] = set()
    for number in _HELD:
        _signal.signal(number, lambda number, _frame: come.add(number))
    return come


def _complete_start() -> None:
    """Do what ``-S`` and ``-m`` leave out when this file itself is run."""
    if not __package__:
        root = __file__.rpartition("/")[0].rpartition("/")[0]
        if sys.flags.safe_path:
            sys.path.insert(0, root)
        else:
            # Not the folder of this file, whose modules would hide other ones.
            sys.path[0] = root
    if sys.flags.no_site:
        # pylint: disable-next=import-outside-toplevel
        import site

        site.main()


def _run() -> None:
    is_daemon = sys.argv[1:2] == ["daemon"]
    come = _hold_early_signals() if is_daemon else set()
    _complete_start()
    # pylint: disable=import-outside-toplevel
    from kumquatwalk.cli.held_signals import hold_signals
    from kumquatwalk.cli.main import main

    if is_daemon:
        hold_signals(*_HELD, come_before=come)
    main(prog_name="kumquatwalk")


if __name__ == "__main__":
    _run()
