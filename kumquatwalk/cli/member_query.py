"""Query of a node for its membership table."""

import dataclasses

from kumquatwalk.cli.member_row import MemberTable
from kumquatwalk.cli.member_row import parse_member_table
from kumquatwalk.cli.node_client import parse_node_address
from kumquatwalk.cli.node_client import get_from_node
from kumquatwalk.exception import KumquatwalkError
from kumquatwalk.exception import SettingError

__all__ = ["MemberQueryResult", "query_members"]

MEMBERS_PATH = "/kumquatwalk/members"


@dataclasses.dataclass(frozen=True, slots=True)
class MemberQueryResult:
    """Result of querying one node for its members.

    Attributes:
        address: Address that was queried.
        table: Members in the view of the node; None if the query failed.
        error: Error code of the failure; empty on success.
    """

    address: str
    table: MemberTable | None
    error: str = ""


def query_members(address: str) -> MemberQueryResult:
    """Query a node for its membership table.

    A node that cannot be reached or sends an invalid response does not raise an
    error: its code is in the result.

    Args:
        address: Local listener of the node, as ``host:port``.

    Raises:
        SettingError: If the address is malformed.
    """
    try:
        table = parse_member_table(
            get_from_node(parse_node_address(address), MEMBERS_PATH)
        )
        _check_types(table)
    except SettingError:
        raise
    except KumquatwalkError as error:
        return MemberQueryResult(address, None, error.code)
    return MemberQueryResult(address, table)


def _check_types(table: MemberTable) -> None:
    for row in table.rows:
        texts = (row.node_id, row.zone, row.state)
        are_texts = all(isinstance(text, str) for text in texts)
        if not are_texts or not isinstance(row.catalogue_revision, int):
            raise KumquatwalkError(
                "answer_malformed", "a member has a field of the wrong type"
            )
