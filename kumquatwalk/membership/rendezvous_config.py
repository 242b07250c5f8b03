"""Settings of rendezvous."""

import dataclasses

__all__ = ["RendezvousConfig"]


@dataclasses.dataclass(frozen=True, slots=True)
class RendezvousConfig:
    """Settings of rendezvous.

    Attributes:
        node_id: Name of this node.
        zone: Zone of this node.
        zones: Names of all zones whose keys are read.
        lease_s: Time after which a key goes when its holder is gone.
        refresh_s: Time between two readings by a representative.
        round_s: Time between two looks at the membership.
        first_backoff_s: Wait after a first failure of the platform.
        max_backoff_s: Longest wait after repeated failures.
    """

    node_id: str
    zone: str
    zones: tuple[str, ...]
    lease_s: float = 30.0
    refresh_s: float = 60.0
    round_s: float = 2.0
    first_backoff_s: float = 0.5
    max_backoff_s: float = 20.0
