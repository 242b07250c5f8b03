"""Services, routes and request rates of a simulated fleet."""

import dataclasses

__all__ = ["BAGMATI", "KIGALI", "SHAPES", "ModelRoute", "ModelService", "Shape"]


@dataclasses.dataclass(frozen=True, slots=True)
class ModelService:
    """Service and its targets.

    Attributes:
        name: Name of the service.
        speeds: Speed factor of each target; run times are divided by it.
        slots: Maximum number of concurrent runs at each target.
        queue: Maximum number of calls queued at each target.
    """

    name: str
    speeds: tuple[float, ...]
    slots: int
    queue: int


@dataclasses.dataclass(frozen=True, slots=True)
class ModelRoute:
    """Route of callers' requests or of nested calls.

    Attributes:
        name: Name of the route.
        service: Name of the service that runs it.
        work_s: Mean run time without nested calls, in seconds.
        rank: Priority for load shedding; 0 is the highest.
        objective_s: Latency objective, in seconds; a later response counts as
            ``late``.
        deadline_s: Timeout of the caller, in seconds.
        per_s: Request rate of all callers together, per second; 0 for a route
            that only targets call.
        calls: Nested calls of a run, in sequence: name of the route and number
            of calls.
    """

    name: str
    service: str
    work_s: float
    rank: int
    objective_s: float
    deadline_s: float
    per_s: float = 0.0
    calls: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Services and routes of a fleet.

    Attributes:
        name: Name on the command line.
        services: All services; the last one is the bottleneck.
        routes: All routes.
    """

    name: str
    services: tuple[ModelService, ...]
    routes: tuple[ModelRoute, ...]

    def find_route(self, name: str) -> ModelRoute:
        """Return the route with the given name."""
        return next(r for r in self.routes if r.name == name)


# Present fleet sizes of the requirements. The request rates load the bottleneck
# service to 0.6 of its capacity.
KIGALI = Shape(
    "kigali",
    (
        ModelService("portal", (0.7, 0.7, 1.6), 120, 120),
        ModelService("payments", (0.5, 1.0, 1.5), 120, 120),
        ModelService("registry", (0.6, 1.0, 1.4), 120, 120),
        ModelService("inspection", (0.5, 1.0, 1.5), 25, 75),
    ),
    (
        ModelRoute("status", "portal", 0.09, 2, 1.2, 5.0, 185.0, (("led", 1),)),
        ModelRoute("fee", "payments", 0.12, 0, 1.5, 5.0, 76.0, (("zone", 2),)),
        ModelRoute("premises", "registry", 0.22, 2, 0.6, 2.5, 85.0),
        ModelRoute("verify", "inspection", 0.36, 2, 1.0, 4.0, 42.0),
        ModelRoute("led", "payments", 0.015, 1, 1.0, 2.5, 0.0, (("zone", 1),)),
        ModelRoute("zone", "registry", 0.015, 1, 0.8, 2.0, 0.0, (("hist", 4),)),
        ModelRoute("hist", "inspection", 0.022, 1, 0.3, 0.7),
    ),
)
BAGMATI = Shape(
    "bagmati",
    (
        ModelService("plants", (0.8, 1.0, 1.0, 1.2), 45, 45),
        ModelService("orders", (0.7, 1.0, 1.3), 60, 60),
        ModelService("nursery", (0.8, 1.0, 1.2), 60, 60),
        ModelService("dispatch", (0.6, 1.0, 1.4), 20, 60),
    ),
    (
        ModelRoute("browse", "plants", 0.1, 2, 1.0, 3.0, 75.0, (("stk", 2),)),
        ModelRoute("order", "orders", 0.12, 0, 1.5, 5.0, 26.0, (("stk", 2),)),
        ModelRoute("track", "dispatch", 0.2, 1, 1.0, 4.0, 90.0),
        ModelRoute("stk", "nursery", 0.02, 1, 0.8, 2.0, 0.0, (("slot", 3),)),
        ModelRoute("slot", "dispatch", 0.03, 1, 0.4, 0.8),
    ),
)
SHAPES = {shape.name: shape for shape in (KIGALI, BAGMATI)}
