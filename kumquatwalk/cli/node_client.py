"""HTTP client for the local listener of a node."""

from collections.abc import Callable

import click

from kumquatwalk.cli.errors import NodeUnreachableError
from kumquatwalk.exception import KumquatwalkError
from kumquatwalk.address import Address
from kumquatwalk.native.settings_kinds import AddressKind
from kumquatwalk.native.settings_kinds import make_setting_error
from kumquatwalk.native.settings_kinds import parse_value

__all__ = [
    "MAX_RESPONSE_BYTES",
    "node_option",
    "parse_node_address",
    "get_from_node",
]

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
READ_TIMEOUT_S = 5.0

_HTTP_OK = 200
_DEFAULT_NODE_ADDRESS = "127.0.0.1:8081"


def node_option(function: Callable) -> Callable:
    """Add the ``--node`` option to a command.

    Args:
        function: Callback of a command; it gets the address as ``node``.

    Returns:
        The callback, to be decorated with ``click.command``.
    """
    return click.option(
        "--node",
        envvar="KUMQUATWALK_NODE",
        allow_from_autoenv=False,
        show_envvar=True,
        default=_DEFAULT_NODE_ADDRESS,
        show_default=True,
        metavar="HOST:PORT",
        help="Local listener of the node to query.",
    )(function)


def parse_node_address(text: str) -> Address:
    """Parse the value of the ``--node`` option.

    Args:
        text: IP address and port, separated by a colon.

    Raises:
        SettingError: If the text is not an address of this form.
    """
    try:
        return parse_value(AddressKind(), text)
    except ValueError:
        raise make_setting_error("node", text, "IP:PORT") from None


def get_from_node(address: Address, path: str) -> bytes:
    """Send a GET request to a node and return the body of the response.

    Args:
        address: Local listener of the node.
        path: Path to request, with its leading slash.

    Raises:
        NodeUnreachableError: If no complete response arrived in time.
        KumquatwalkError: If the status is not 200, or the body is longer than
            ``MAX_RESPONSE_BYTES``.
    """
    import urllib3  # pylint: disable=import-outside-toplevel

    pool = urllib3.HTTPConnectionPool(
        address.host, address.port, timeout=READ_TIMEOUT_S, retries=False
    )
    try:
        response = pool.request("GET", path, preload_content=False)
        body = response.read(MAX_RESPONSE_BYTES + 1)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise NodeUnreachableError(
            "node_unreachable", f"no response from {address}: {error}"
        ) from error
    finally:
        pool.close()
    if response.status != _HTTP_OK:
        raise KumquatwalkError(
            "node_refused",
            f"{address} responded {response.status} to GET {path}",
        )
    if len(body) > MAX_RESPONSE_BYTES:
        raise KumquatwalkError(
            "answer_too_large", f"response of {address} is too large"
        )
    return body
