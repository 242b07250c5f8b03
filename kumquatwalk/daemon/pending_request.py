"""A caller's request while it is served."""

import dataclasses

from kumquatwalk.config.route import Route
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.mesh.message import Reply
from kumquatwalk.platform.request_headers import CallerRequest

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
        tried: Nodes that have been asked.
        arrivals: Targets that it has reached.
        failed: Reply of the last run that failed.
    """

    http: HttpRequest
    caller: CallerRequest
    route: Route
    service: str
    deadline: float
    is_returning: bool
    tried: set[str] = dataclasses.field(default_factory=set)
    arrivals: int = 0
    failed: Reply | None = None
