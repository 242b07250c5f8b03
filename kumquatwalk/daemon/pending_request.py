"""A caller's request while it is served."""

import dataclasses

from kumquatwalk.config.route import Route
from kumquatwalk.daemon.caller_request import CallerRequest
from kumquatwalk.daemon.chain import ChainContext
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.mesh.message import Reply
from kumquatwalk.retry.share import CallTokens

__all__ = ["PendingRequest"]


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """What has become of a request so far.

    Attributes:
        http: The request.
        caller: What its headers say.
        route: Its route.
        service: Service that is to run it.
        deadline: Time at which its caller is answered at the latest.
        is_returning: Whether its caller comes back after a refusal.
        chain: What it has from its chain; None where that is not known.
        tried: Nodes that have replied.
        asked: Node that has been asked last; empty before the first.
        arrivals: Targets that it has reached.
        last_run: Reply of the last run.
        refused: Last refusal of a gate.
        crash_marks: Marks of the targets that crashed while they ran it.
    """

    http: HttpRequest
    caller: CallerRequest
    route: Route
    service: str
    deadline: float
    is_returning: bool
    chain: ChainContext | None = None
    tried: set[str] = dataclasses.field(default_factory=set)
    asked: str = ""
    arrivals: int = 0
    last_run: Reply | None = None
    refused: Reply | None = None
    crash_marks: bytes = b""

    @property
    def rank(self) -> int:
        """Order under pressure; 0 is the most important."""
        return self.route.rank if self.chain is None else self.chain.rank

    @property
    def tokens(self) -> CallTokens | None:
        """Tokens that further attempts are paid from; None without a chain."""
        return None if self.chain is None else self.chain.tokens
