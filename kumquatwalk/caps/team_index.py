"""Numbers by which messages name teams with a cap."""

import hashlib
from collections.abc import Iterable

from kumquatwalk.config.team import Team

__all__ = ["TeamIndex"]

_NUMBERS = 1 << 32


class TeamIndex:
    """Numbers of the teams that have a cap.

    A number is a hash of the team's name, so that nodes with different
    versions of the configuration mean the same team. Of two teams with the same
    hash, the one whose name sorts later has the next free number.

    Args:
        teams: All teams; those without a cap are left out.

    Attributes:
        by_number: Teams by number.
        by_name: Numbers by name.
    """

    def __init__(self, teams: Iterable[Team]):
        self.by_number: dict[int, Team] = {}
        self.by_name: dict[str, int] = {}
        for team in sorted(teams, key=lambda t: t.name):
            if team.rate_max_per_s is None:
                continue
            number = _hash(team.name)
            while number in self.by_number:
                number = (number + 1) % _NUMBERS
            self.by_number[number] = team
            self.by_name[team.name] = number


def _hash(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "little")
