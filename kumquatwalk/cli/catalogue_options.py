"""Options shared by the catalogue commands."""

import secrets
from collections.abc import Callable

import click

from kumquatwalk.catalogue.store import CatalogueStore
from kumquatwalk.platform.blocking_store import BlockingStoreClient

__all__ = [
    "add_edit_options",
    "add_platform_options",
    "json_option",
    "make_change_id",
    "make_store",
]

DEFAULT_TIMEOUT_S = 2.0
MIN_TIMEOUT_S = 0.1
MAX_TIMEOUT_S = 60.0
CHANGE_ID_BYTES = 16

json_option = click.option(
    "--json",
    "as_json",
    is_flag=True,
    envvar="KUMQUATWALK_JSON",
    help="Print JSON.",
)
_PLATFORM_OPTIONS = (
    click.option(
        "--platform",
        metavar="HOST:PORT",
        required=True,
        envvar="KUMQUATWALK_PLATFORM",
        show_envvar=True,
        help="Address of the platform's store.",
    ),
    click.option(
        "--platform-timeout",
        "timeout_s",
        type=click.FloatRange(MIN_TIMEOUT_S, MAX_TIMEOUT_S),
        default=DEFAULT_TIMEOUT_S,
        show_default=True,
        envvar="KUMQUATWALK_PLATFORM_TIMEOUT",
        show_envvar=True,
        help="Time-out of one request to the platform, in seconds.",
    ),
    json_option,
)
_EDIT_OPTIONS = (
    click.option(
        "--author",
        required=True,
        envvar="KUMQUATWALK_AUTHOR",
        show_envvar=True,
        help="TEAM or TEAM/PERSON; the team must own the entry.",
    ),
    click.option(
        "--reason",
        required=True,
        envvar="KUMQUATWALK_REASON",
        show_envvar=True,
        help="Reason for the edit; recorded in the history.",
    ),
    click.option(
        "--as-admin",
        is_flag=True,
        envvar="KUMQUATWALK_AS_ADMIN",
        help="Allow edits of entries that other teams own.",
    ),
    click.option(
        "--expect",
        type=click.IntRange(min=0),
        metavar="REVISION",
        envvar="KUMQUATWALK_EXPECT",
        help="Refuse the edit if the entry was changed after this revision.",
    ),
    click.option(
        "--dry-run",
        is_flag=True,
        envvar="KUMQUATWALK_DRY_RUN",
        help="Validate the edit and print its difference; write nothing.",
    ),
)


def add_platform_options(command: Callable) -> Callable:
    """Add the options of commands that access the platform.

    They are ``--platform``, ``--platform-timeout`` and ``--json``.
    """
    return _add_options(command, _PLATFORM_OPTIONS)


def add_edit_options(command: Callable) -> Callable:
    """Add the options of commands that edit the catalogue.

    They are ``--author``, ``--reason``, ``--as-admin``, ``--expect`` and
    ``--dry-run``.
    """
    return _add_options(command, _EDIT_OPTIONS)


def make_store(platform: str, timeout_s: float) -> CatalogueStore:
    """Return a store that reads and edits the catalogue in the platform.

    Args:
        platform: Address of the platform's store, as ``host:port``.
        timeout_s: Time-out of one request, in seconds.
    """
    return CatalogueStore(BlockingStoreClient(platform, timeout_s=timeout_s))


def make_change_id() -> str:
    """Return a random identifier for a change, as hexadecimal digits."""
    return secrets.token_hex(CHANGE_ID_BYTES)


def _add_options(command: Callable, options: tuple[Callable, ...]) -> Callable:
    for option in reversed(options):
        command = option(command)
    return command
