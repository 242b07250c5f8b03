"""Descriptions of the node for operators."""

from kumquatwalk.catalogue.replica import CatalogueReplica
from kumquatwalk.gateway.request import HttpRequest
from kumquatwalk.gateway.response import HttpResponse
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.service import Membership
from kumquatwalk.node.answer import make_json
from kumquatwalk.node.settings import NodeSettings
from kumquatwalk.routing.table import RouteTable

__all__ = ["NodeStatus"]


class NodeStatus:
    """Describes the node and the members that it knows.

    Args:
        settings: Settings of the node.
        membership: Members known.
        replica: The node's catalogue.
        routes: What this node has seen of all targets.
    """

    def __init__(
        self,
        settings: NodeSettings,
        membership: Membership,
        replica: CatalogueReplica,
        routes: RouteTable,
    ):
        self._settings = settings
        self._membership = membership
        self._replica = replica
        self._routes = routes

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
        """Return the node's own state and the targets it can route to."""
        catalogue = self._replica.current()
        services = {entry.service for entry in catalogue.entries.values()}
        return make_json(
            {
                "node_id": self._settings.node_id,
                "zone": self._settings.zone,
                "catalogue_revision": catalogue.revision,
                "targets": {
                    service: self._routes.count_targets(service)
                    for service in sorted(services)
                },
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
