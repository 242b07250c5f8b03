"""Shapes of the fleets under surge: services, chains and their entries."""

import dataclasses

from kumquatwalk.catalogue import AuditRecord
from kumquatwalk.catalogue import Catalogue
from kumquatwalk.catalogue import Entry
from kumquatwalk.catalogue import Importance
from kumquatwalk.catalogue import Limits

__all__ = ["RequestKind", "SHAPES", "ServiceShape", "SurgeShape"]

TIME_MS = 3000
RETRIES = 2
UNBOUNDED = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShape:
    """One service.

    Attributes:
        name: Its name.
        targets: Number of targets, spread over three zones.
        slots: Slots of each target.
        connections: Connections of each target.
    """

    name: str
    targets: int
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of outside request: a chain that ends at the narrow service.

    Attributes:
        importance: Its class.
        share: Its share of the requests offered.
        services: Services of its chain, from the front.
        is_once: Whether it must run at most once.
    """

    importance: Importance
    share: float
    services: tuple[str, ...]
    is_once: bool = False

    def list_entries(self) -> tuple[str, ...]:
        """Return the names of its entries, from the front."""
        name = self.importance.name.lower()
        return tuple(f"{name}-{service}" for service in self.services)


@dataclasses.dataclass(frozen=True, slots=True)
class SurgeShape:
    """One fleet and what its callers ask for.

    Attributes:
        services: Its services; the last one is the narrow point.
        kinds: Kinds of outside requests.
    """

    services: tuple[ServiceShape, ...]
    kinds: tuple[RequestKind, ...]

    @property
    def narrow(self) -> ServiceShape:
        """The service with the least capacity."""
        return self.services[-1]

    def make_catalogue(self) -> Catalogue:
        """Return the catalogue of the fleet."""
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
            idempotent=not kind.is_once,
            limits=Limits(UNBOUNDED, float(UNBOUNDED), RETRIES, TIME_MS),
            calls=names[place + 1 : place + 2],
        )
        for place, (name, service) in enumerate(zip(names, kind.services))
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
