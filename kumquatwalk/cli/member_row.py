"""Membership table that a node serves at its local listener."""

import dataclasses
import json

from kumquatwalk.exception import KumquatwalkError

__all__ = ["MemberRow", "MemberTable", "parse_member_table"]


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRow:
    """One member of the fleet, in the view of a node.

    Attributes:
        node_id: Identifier of the node.
        incarnation: Start time of its process, in milliseconds since the epoch.
        zone: Availability zone of its VM.
        host: IP address of its VM.
        state: State of the node according to the failure detector.
        service: Service of its target; empty without a target.
        target_state: State announced by the target.
        slots: Concurrent calls that the target announced it can run.
        catalogue_revision: Catalogue revision in force at the node.
    """

    node_id: str
    incarnation: int
    zone: str
    host: str
    state: str
    service: str
    target_state: str
    slots: int
    catalogue_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberTable:
    """Members of the fleet, in the view of one node.

    Attributes:
        node_id: Identifier of the node that was queried.
        zone: Its availability zone.
        rows: Members, sorted by zone and identifier.
    """

    node_id: str
    zone: str
    rows: tuple[MemberRow, ...]


def parse_member_table(body: bytes) -> MemberTable:
    """Parse the membership table in a response of a node.

    The types of the fields are not checked.

    Args:
        body: Body of the response, in JSON.

    Raises:
        KumquatwalkError: If the body is not JSON or a field is missing.
    """
    names = [field.name for field in dataclasses.fields(MemberRow)]
    try:
        document = json.loads(body)
        rows = [
            MemberRow(**{name: member[name] for name in names})
            for member in document["members"]
        ]
        rows.sort(key=lambda row: (str(row.zone), str(row.node_id)))
        return MemberTable(document["node_id"], document["zone"], tuple(rows))
    except (KeyError, TypeError, ValueError) as error:
        raise KumquatwalkError(
            "answer_malformed", f"malformed response of the node: {error!r}"
        ) from error
