"""Faults of the links from one node to another."""

import dataclasses

__all__ = ["LinkFaults"]


@dataclasses.dataclass(frozen=True, slots=True)
class LinkFaults:
    """Faults of the links from one node to another.

    Attributes:
        delay_s: Time by which bytes of both directions are late, in seconds.
        holds_calls: Whether nothing arrives at the node that accepted the link.
        holds_replies: Whether nothing arrives at the node that opened it.
    """

    delay_s: float = 0.0
    holds_calls: bool = False
    holds_replies: bool = False
