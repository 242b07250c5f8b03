"""Team: a group of callers with keys, a rank and a cap of its own."""

import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

__all__ = ["Team", "TeamTable"]


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """Settings of one team.

    Attributes:
        name: Name of the team.
        rank: Priority of its requests under overload; 0 is the highest. It
            goes before the rank of their routes.
        rate_max_per_s: Cap on its requests over the whole fleet, per second;
            None for no limit.
        burst: Requests that it may send at once beyond the rate.
    """

    name: str
    rank: int = 0
    rate_max_per_s: float | None = None
    burst: float = 0.0


class TeamTable:
    """Immutable table of all teams and the keys that belong to them.

    The keys are secrets: no method returns them, and they have no part in the
    text form of the table.

    Args:
        teams: All teams, those without a key among them.
        keys: Team by key.

    Attributes:
        teams: Teams by name.
    """

    def __init__(self, teams: Iterable[Team], keys: Mapping[bytes, Team]):
        self._keys = dict(keys)
        self.teams: Mapping[str, Team] = {team.name: team for team in teams}

    def __repr__(self) -> str:
        return f"TeamTable({len(self.teams)} teams, {len(self._keys)} keys)"

    def find(self, key: bytes | None) -> Team | None:
        """Return the team that a key belongs to; None if it is unknown.

        Args:
            key: Key of a request; None if it has none.
        """
        return None if key is None else self._keys.get(key)
