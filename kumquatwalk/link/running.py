"""Heartbeat of a call in progress."""

import dataclasses

__all__ = ["Running"]


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """Says that the link and the gate are alive and the call not finished."""
