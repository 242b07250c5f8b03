"""Route: the services that serve a path, and the limits that apply."""

import dataclasses

__all__ = ["Route", "ServiceShare"]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """One service of a traffic split.

    Attributes:
        service: Name of the service.
        weight: Part of the traffic, relative to the other weights of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Settings for the requests to one host below one path prefix.

    Attributes:
        name: Name of the route.
        host: Host name in requests, in lower case.
        path_prefix: Prefix of the path; begins and ends with a slash.
        shares: Services that serve the route; several for a traffic split.
        is_idempotent: Whether a request may safely run more than once.
        attempts_max: Maximum number of attempts of one request that may reach a
            target.
        timeout_s: Maximum time to answer a caller, in seconds.
        objective_s: Latency objective: time within which an answer has its full
            value, in seconds.
        rank: Priority under overload; 0 is the highest.
        repeats_failures: Whether a request is retried at another target after a
            response with a server error.
        in_flight_max: Maximum number of requests in flight over all targets;
            None for no limit.
        rate_max_per_s: Maximum rate at which requests are started over all
            targets, per second; None for no limit.
        is_public: Whether its requests need no key of a team.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[ServiceShare, ...]
    is_idempotent: bool
    attempts_max: int
    timeout_s: float
    objective_s: float
    rank: int
    repeats_failures: bool = True
    in_flight_max: int | None = None
    rate_max_per_s: float | None = None
    is_public: bool = False

    @property
    def has_fleet_limits(self) -> bool:
        """Whether a limit holds over all targets together."""
        return self.in_flight_max is not None or self.rate_max_per_s is not None
