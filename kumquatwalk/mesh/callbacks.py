"""Callbacks for messages received on links."""

import dataclasses
from collections.abc import Callable

from kumquatwalk.mesh.message import CapGrant
from kumquatwalk.mesh.message import CapHolder
from kumquatwalk.mesh.message import ConfigDocument
from kumquatwalk.mesh.message import CrashNotice
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.routing.call_graph import TrafficReport
from kumquatwalk.routing.target_choice import TargetView

__all__ = ["PeerCallbacks"]


def _ignore(_message: CapGrant | CapHolder | Hello) -> None:
    pass


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCallbacks:
    """Functions that a ``PeerLink`` calls with messages from its peer.

    Attributes:
        on_status: Called with each status of the peer's target.
        on_config: Called with each fleet configuration that was requested.
        on_traffic: Called with each traffic report of the peer.
        on_crash: Called with each notice of a request that crashes targets.
        on_caps: Called with each answer to a request for tokens.
        on_hello: Called with the first message of the peer on a connection.
    """

    on_status: Callable[[TargetView, TargetStatus], None]
    on_config: Callable[[ConfigDocument], None]
    on_traffic: Callable[[TargetView, TrafficReport], None]
    on_crash: Callable[[CrashNotice], None]
    on_caps: Callable[[CapGrant | CapHolder], None] = _ignore
    on_hello: Callable[[Hello], None] = _ignore
