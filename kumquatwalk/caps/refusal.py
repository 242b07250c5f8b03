"""Refusal of a request by the cap of its team."""

import dataclasses

__all__ = ["CapRefusal"]


@dataclasses.dataclass(frozen=True, slots=True)
class CapRefusal:
    """Reason why a request gets no token.

    Attributes:
        code: ``codes.TEAM_CAP`` or ``codes.CAP_UNAVAILABLE``.
        retry_after_s: Time until a token is expected, in seconds.
    """

    code: str
    retry_after_s: float
