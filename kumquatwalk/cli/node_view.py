"""What one node says of the members of the fleet."""

import dataclasses
import json

from kumquatwalk.exception import MembershipError

__all__ = ["MemberView", "NodeView", "parse_view"]

MAX_MEMBERS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class MemberView:
    """One member as a node sees it.

    Attributes:
        node_id: Name of the member.
        zone: Availability zone of the member.
        state: State that the asked node sees, such as ``alive``.
        revision: Catalogue revision last heard from the member.
    """

    node_id: str
    zone: str
    state: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class NodeView:
    """Answer of one node that was asked.

    Attributes:
        address: Address that was asked.
        members: What it says of the members; empty when it did not answer.
        error: Why there is no answer; empty when there is one.
    """

    address: str
    members: tuple[MemberView, ...]
    error: str = ""


def parse_view(address: str, body: bytes) -> NodeView:
    """Return the view in a node's answer; fields not used are passed over.

    Args:
        address: Address that was asked.
        body: JSON object with the list ``members``.

    Raises:
        MembershipError: If the answer is malformed.
    """
    try:
        rows = json.loads(body)["members"][:MAX_MEMBERS]
        members = tuple(
            MemberView(
                str(row["node_id"]),
                str(row["zone"]),
                str(row["state"]).lower(),
                int(row["catalogue_revision"]),
            )
            for row in rows
        )
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise MembershipError("members_malformed", address) from error
    return NodeView(address, members)
