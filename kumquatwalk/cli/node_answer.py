"""Answer of one node that was asked for its members."""

import dataclasses

from kumquatwalk.cli.member_row import MemberTable
from kumquatwalk.cli.member_row import parse_member_table
from kumquatwalk.cli.node_client import parse_node
from kumquatwalk.cli.node_client import read_node
from kumquatwalk.exception import KumquatwalkError
from kumquatwalk.exception import SettingError

__all__ = ["NodeAnswer", "ask_node"]

MEMBERS_PATH = "/kumquatwalk/members"


@dataclasses.dataclass(frozen=True, slots=True)
class NodeAnswer:
    """What came of asking one node.

    Attributes:
        address: Address that was asked.
        table: Members that the node knows; None without a usable answer.
        error: Code of what went wrong; empty when there is a table.
    """

    address: str
    table: MemberTable | None
    error: str = ""


def ask_node(address: str) -> NodeAnswer:
    """Ask a node for the members that it knows.

    Args:
        address: Local listener of the node, as ``host:port``.

    Raises:
        SettingError: If the address is malformed.
    """
    try:
        table = parse_member_table(read_node(parse_node(address), MEMBERS_PATH))
        _check_types(table)
    except SettingError:
        raise
    except KumquatwalkError as error:
        return NodeAnswer(address, None, error.code)
    return NodeAnswer(address, table)


def _check_types(table: MemberTable) -> None:
    for row in table.rows:
        texts = (row.node_id, row.zone, row.state)
        are_texts = all(isinstance(text, str) for text in texts)
        if not are_texts or not isinstance(row.catalogue_revision, int):
            raise KumquatwalkError(
                "answer_malformed", "a member has a field of the wrong type"
            )
