"""Counts of membership traffic."""

import dataclasses

__all__ = ["Counters"]


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts of membership traffic since the start.

    Attributes:
        datagrams_sent: Datagrams given to the network.
        datagrams_received: Datagrams taken from the network.
        bytes_sent: Their bytes.
        bytes_received: Their bytes.
        dropped_malformed: Received datagrams dropped as oversize, malformed or
            foreign.
        dropped_blocked: Datagrams dropped because their host is blocked.
        dropped_budget: Datagrams not sent for want of budget.
        refutations: Times this node refuted a claim that it had failed.
        failures: Errors in the service's thread, callbacks included.
    """

    datagrams_sent: int = 0
    datagrams_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    dropped_malformed: int = 0
    dropped_blocked: int = 0
    dropped_budget: int = 0
    refutations: int = 0
    failures: int = 0
