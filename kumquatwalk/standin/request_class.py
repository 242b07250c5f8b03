"""Classes of requests of a deployment with calls between its services."""

import dataclasses
import math
import random

__all__ = ["CLASSES", "RequestClass"]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """Requests on one route.

    Attributes:
        name: Name of the route; its paths are ``/NAME/WORK_MS/BYTES``.
        service: Service that runs them.
        timeout_s: Timeout of the route, in seconds.
        aim_s: Target latency, in seconds.
        limit_s: Time limit that callers give, in seconds.
        priority: Rank of the route, 0 for the highest.
        work_ms: Mean of the time that a target works, in milliseconds.
        size: Mean size of an answer's body, in bytes.
        spread: Standard deviation of the logarithm of the work's time.
        calls: Names of the routes that a target calls while it runs one, one
            call after the other.
        per_s: Rate at which callers of all zones send them, in 1/s.
        is_safe: Whether they are idempotent.
    """

    name: str
    service: str
    timeout_s: float
    aim_s: float
    limit_s: float
    priority: int
    work_ms: float
    size: int
    spread: float
    calls: tuple[str, ...] = ()
    per_s: float = 0.0
    is_safe: bool = True

    def draw_path(self, rng: random.Random) -> tuple[str, int]:
        """Return the path of a request, and the size of its answer in bytes.

        Args:
            rng: Source of the work and of the size.
        """
        factor = math.exp(rng.gauss(-(self.spread**2) / 2, self.spread))
        size = rng.randint(1, 2 * self.size)
        return f"/{self.name}/{self.work_ms * factor:.0f}/{size}", size


CLASSES = {
    entry.name: entry
    for entry in (
        RequestClass(
            "status", "portal", 5.0, 1.2, 5.0, 2, 90, 400, 0.3, ("ledger",), 181
        ),
        RequestClass(
            "fee",
            "payments",
            0.8,
            1.5,
            5.0,
            0,
            120,
            400,
            0.8,
            ("zoning", "zoning"),
            78.8,
            False,
        ),
        RequestClass(
            "lookup", "registry", 1.2, 0.6, 2.5, 2, 220, 6000, 0.8, (), 82.7
        ),
        RequestClass(
            "verify", "desk", 2.0, 1.0, 4.0, 2, 360, 1500, 0.3, (), 39.4
        ),
        RequestClass(
            "ledger", "payments", 2.5, 1.0, 2.5, 5, 15, 400, 0.5, ("zoning",)
        ),
        RequestClass(
            "zoning",
            "registry",
            2.0,
            0.8,
            2.0,
            5,
            15,
            400,
            0.5,
            ("history",) * 4,
        ),
        RequestClass("history", "desk", 0.7, 0.3, 0.7, 5, 22, 400, 0.5),
    )
}
