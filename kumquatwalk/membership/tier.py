"""Tiers of traffic that share the byte budget."""

import enum

__all__ = ["Tier"]


class Tier(enum.Enum):
    """Kind of traffic; its value is the part of the burst left to others."""

    PROBE = 0.0
    URGENT = 0.1
    GOSSIP = 0.25
    BULK = 0.3
    MEMBER_GOSSIP = 0.45
