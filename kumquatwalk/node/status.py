"""Descriptions of the node for operators."""

from kumquatwalk.catalogue.replica import CatalogueReplica
from kumquatwalk.gateway.request import HttpRequest
from kumquatwalk.gateway.response import HttpResponse
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.service import Membership
from kumquatwalk.node.answer import make_json
from kumquatwalk.node.settings import NodeSettings

__all__ = ["NodeStatus"]


class NodeStatus:
    """Describes the node and the members that it knows.

    Args:
        settings: Settings of the node.
        membership: Members known.
        replica: The node's catalogue.
    """

    def __init__(
        self,
        settings: NodeSettings,
        membership: Membership,
        replica: CatalogueReplica,
    ):
        self._settings = settings
        self._membership = membership
        self._replica = replica

    def describe_members(self, _: HttpRequest) -> HttpResponse:
        """Return all members known, in any state."""
        members = self._membership.snapshot().members.values()
        return make_json(
            {
                "node_id": self._settings.node_id,
                "zone": self._settings.zone,
                "members": [_describe(member) for member in members],
            }
        )

    def describe_node(self, _: HttpRequest) -> HttpResponse:
        """Return the node's own state."""
        return make_json(
            {
                "node_id": self._settings.node_id,
                "zone": self._settings.zone,
                "catalogue_revision": self._replica.current().revision,
            }
        )


def _describe(member: Member) -> dict[str, object]:
    return {
        "node_id": member.node_id,
        "incarnation": member.incarnation,
        "zone": member.zone,
        "host": member.host,
        "state": member.state.name.lower(),
        "service": member.target.service,
        "target_state": member.target.state.name.lower(),
        "slots": member.target.slots,
        "catalogue_revision": member.catalogue_revision,
    }
