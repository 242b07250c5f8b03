"""One member as a node's local listener shows it."""

import dataclasses
import json

from kumquatwalk.exception import KumquatwalkError

__all__ = ["MemberRow", "MemberTable", "parse_member_table"]


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRow:
    """One member.

    Attributes:
        node_id: Name of the node.
        incarnation: Start of its process, milliseconds since the epoch.
        zone: Availability zone of its VM.
        host: IP number of its VM.
        state: State seen by the failure detector.
        service: Service of its target; empty without a target.
        target_state: State announced by the target.
        slots: Calls that the target says it can run at once.
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
    """Members as seen by one node.

    Attributes:
        node_id: Name of the node asked.
        zone: Its availability zone.
        rows: Members, sorted by zone and name.
    """

    node_id: str
    zone: str
    rows: tuple[MemberRow, ...]


def parse_member_table(body: bytes) -> MemberTable:
    """Return the members in an answer of a node.

    Args:
        body: JSON text.

    Raises:
        KumquatwalkError: The text is malformed.
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
            "answer_malformed", f"the node's answer is malformed: {error!r}"
        ) from error
