"""Plays the faults of links between nodes."""

from kumquatwalk.clock import read_now
from kumquatwalk.soak.link_plan import LinkAction
from kumquatwalk.soak.link_plan import LinkFault
from kumquatwalk.soak.platform_record import Impairment
from kumquatwalk.standin.link_faults import LinkFaults
from kumquatwalk.standin.link_proxy import LinkProxy

__all__ = ["LinkPlayer"]


class LinkPlayer:
    """Plays faults of links, each an unplanned impairment of both ends.

    Args:
        proxies: Proxies by the node that accepts the links.

    Attributes:
        impairments: Impairments so far.
    """

    def __init__(self, proxies: dict[str, LinkProxy]):
        self.impairments: list[Impairment] = []
        self._proxies = proxies
        self._last: dict[tuple[str, str], LinkAction] = {}

    def begin(self, action: LinkAction) -> None:
        """Begin a fault; it replaces one of the same links.

        Args:
            action: Fault to begin.
        """
        proxy = self._proxies[action.node_id]
        for peer in action.peers:
            self._last[peer, action.node_id] = action
            match action.fault:
                case LinkFault.RESET:
                    proxy.reset(peer)
                case LinkFault.SILENT_FOR_GOOD:
                    proxy.silence(peer)
                case LinkFault.DELAY:
                    proxy.set_faults(peer, LinkFaults(action.delay_s))
                case LinkFault.ONE_WAY:
                    proxy.set_faults(
                        peer,
                        LinkFaults(
                            holds_calls=action.holds_calls,
                            holds_replies=not action.holds_calls,
                        ),
                    )
                case LinkFault.SILENT:
                    proxy.set_faults(peer, LinkFaults(0.0, True, True))
        now = read_now()
        for node in (action.node_id, *action.peers):
            self.impairments.append(Impairment(node, now, now + action.hold_s))

    def lift(self, action: LinkAction) -> None:
        """Lift a fault, unless another one of the same links replaced it.

        Args:
            action: Fault that was begun.
        """
        for peer in action.peers:
            if self._last.get((peer, action.node_id)) is action:
                self._proxies[action.node_id].set_faults(peer, LinkFaults())
        now = read_now()
        for node in (action.node_id, *action.peers):
            self.impairments.append(Impairment(node, now, now))

    def lift_all(self) -> None:
        """Lift all faults."""
        for peer, node in self._last:
            self._proxies[node].set_faults(peer, LinkFaults())
