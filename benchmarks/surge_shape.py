"""Fleets of the surge benchmark: services, call chains and entries."""

import dataclasses

from kumquatwalk.catalogue import AuditRecord
from kumquatwalk.catalogue import Catalogue
from kumquatwalk.catalogue import Entry
from kumquatwalk.catalogue import Importance
from kumquatwalk.catalogue import Limits

__all__ = ["RequestKind", "SHAPES", "ServiceShape", "SurgeShape"]

TIME_LIMIT_MS = 3000
RETRIES = 2
NO_LIMIT = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShape:
    """Service and the size of its targets.

    Attributes:
        name: Name of the service.
        targets: Number of targets, spread over three zones.
        slots: Maximum number of concurrent runs at each target.
        connections: Maximum number of connections of each target.
    """

    name: str
    targets: int
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """Kind of callers' requests, a call chain that ends at the bottleneck.

    Attributes:
        importance: Importance class of its entries.
        share: Share of the callers' requests that are of this kind.
        services: Services of the call chain; the first one is called by
            callers.
        is_at_most_once: Whether a request must run at most once.
    """

    importance: Importance
    share: float
    services: tuple[str, ...]
    is_at_most_once: bool = False

    def list_entries(self) -> tuple[str, ...]:
        """Return the entry names along the call chain, callers' entry first."""
        name = self.importance.name.lower()
        return tuple(f"{name}-{service}" for service in self.services)


@dataclasses.dataclass(frozen=True, slots=True)
class SurgeShape:
    """Services of a fleet and the kinds of its callers' requests.

    Attributes:
        services: All services; the last one is the bottleneck.
        kinds: Kinds of callers' requests.
    """

    services: tuple[ServiceShape, ...]
    kinds: tuple[RequestKind, ...]

    @property
    def bottleneck(self) -> ServiceShape:
        """The service with the lowest capacity."""
        return self.services[-1]

    def make_catalogue(self) -> Catalogue:
        """Return a catalogue with the entries of all request kinds."""
        entries = [e for kind in self.kinds for e in _make_entries(kind)]
        entries.reverse()
        records = tuple(
            AuditRecord(
                number, f"{number:016}", "bench", "add", 0, e.name, None, e
            )
            for number, e in enumerate(entries, 1)
        )
        return Catalogue(len(entries), {e.name: e for e in entries}, records)


def _make_entries(kind: RequestKind) -> list[Entry]:
    names = kind.list_entries()
    return [
        Entry(
            name=name,
            owner="bench",
            service=service,
            importance=kind.importance,
            idempotent=not kind.is_at_most_once,
            limits=Limits(NO_LIMIT, float(NO_LIMIT), RETRIES, TIME_LIMIT_MS),
            calls=names[index + 1 : index + 2],
        )
        for index, (name, service) in enumerate(zip(names, kind.services))
    ]


KIGALI = SurgeShape(
    services=(
        ServiceShape("portal", 3, 120, 800),
        ServiceShape("payments", 3, 120, 800),
        ServiceShape("registry", 3, 120, 800),
        ServiceShape("verification", 3, 25, 250),
    ),
    kinds=(
        RequestKind(
            Importance.CRITICAL, 0.10, ("portal", "registry", "verification")
        ),
        RequestKind(
            Importance.HIGH, 0.15, ("portal", "payments", "verification"), True
        ),
        RequestKind(
            Importance.NORMAL, 0.25, ("portal", "registry", "verification")
        ),
        RequestKind(
            Importance.SHEDDABLE, 0.50, ("portal", "registry", "verification")
        ),
    ),
)

BAGMATI = SurgeShape(
    services=(
        ServiceShape("plants", 4, 45, 400),
        ServiceShape("orders", 3, 60, 450),
        ServiceShape("inventory", 3, 60, 450),
        ServiceShape("dispatch", 3, 20, 200),
    ),
    kinds=(
        RequestKind(
            Importance.CRITICAL, 0.10, ("orders", "inventory", "dispatch"), True
        ),
        RequestKind(
            Importance.HIGH, 0.15, ("orders", "inventory", "dispatch"), True
        ),
        RequestKind(Importance.NORMAL, 0.25, ("orders", "dispatch")),
        RequestKind(
            Importance.SHEDDABLE, 0.50, ("plants", "inventory", "dispatch")
        ),
    ),
)

SHAPES = {"kigali": KIGALI, "bagmati": BAGMATI}
