"""Intervals and limits of the membership protocol."""

import dataclasses

__all__ = ["Timing"]


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and limits of the membership protocol.

    Attributes:
        probe_interval_s: Time between two probes, each of one member.
        ack_timeout_s: Time after which a probe is tried through others.
        indirect_probes: Number of others that are asked to probe.
        suspicion_periods: Probe intervals for which a member stays SUSPECT,
            for each factor of ten in the size of the fleet.
        revive_interval_s: Time between two probes of DEAD members.
        seed_interval_s: Time between two contacts with configured peers that
            are not living members.
        sync_interval_s: Longest time between two comparisons of tables that
            stay different.
        bytes_per_s: Bytes sent in a second, on average.
        burst_bytes: Bytes that may be sent at once.
    """

    probe_interval_s: float = 1.0
    ack_timeout_s: float = 0.4
    indirect_probes: int = 3
    suspicion_periods: float = 3.0
    revive_interval_s: float = 5.0
    seed_interval_s: float = 15.0
    sync_interval_s: float = 10.0
    bytes_per_s: float = 4500.0
    burst_bytes: float = 49152.0
