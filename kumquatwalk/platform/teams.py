"""Decoder of the teams in the fleet configuration."""

from collections.abc import Mapping
from typing import Any

from kumquatwalk.config.team import Team
from kumquatwalk.config.team import TeamTable
from kumquatwalk.exception import PlatformFormatError
from kumquatwalk.platform import fields

__all__ = ["decode_teams"]

# Rank of a team that sets no priority: after all teams that set one.
_DEFAULT_RANK = 9


def decode_teams(table: Mapping[str, Any]) -> TeamTable | None:
    """Decode the teams of a fleet configuration.

    The errors name fields and teams and never a key.

    Args:
        table: Decoded configuration.

    Returns:
        The teams; None if the configuration lists none.

    Raises:
        PlatformFormatError: A field is missing or malformed, two teams have the
            same name, or a key is listed twice.
    """
    entries = table.get("tenants")
    if entries is None or entries == []:
        return None
    # Values are left out of the messages, as they may hold keys.
    if not isinstance(entries, list):
        raise _make_error("tenants", "must be a list")
    teams: dict[str, Team] = {}
    keys: dict[bytes, Team] = {}
    for entry in entries:
        if not isinstance(entry, Mapping):
            raise _make_error("tenants", "must hold tables only")
        team = _decode_team(entry)
        if team.name in teams:
            raise _make_error("name", f"{team.name!r:.80} is listed twice")
        teams[team.name] = team
        for key in _decode_keys(entry, team.name):
            if key in keys:
                raise _make_error(
                    "apiKeys", f"key listed twice, last by {team.name!r:.80}"
                )
            keys[key] = team
    return TeamTable(teams.values(), keys)


def _decode_team(entry: Mapping[str, Any]) -> Team:
    name = entry.get("name")
    if not isinstance(name, str) or not name:
        raise _make_error("name", "must be non-empty text")
    if not name.isprintable():
        # Targets get the name in a header.
        raise _make_error("name", f"{name!r:.80} has control characters")
    rank = _read_number(entry, "priority", _DEFAULT_RANK, name)
    if rank != int(rank):
        raise _make_error("priority", f"of {name!r:.80} must be whole")
    return Team(
        name=name,
        rank=int(rank),
        rate_max_per_s=_read_number(entry, "ratePerS", 0.0, name) or None,
        burst=_read_number(entry, "burst", 0.0, name),
    )


def _read_number(
    entry: Mapping[str, Any], field: str, default: float, name: str
) -> float:
    try:
        return fields.read_number(entry, field, default)
    except PlatformFormatError:
        # Its message holds the value, which may be a key.
        raise _make_error(
            field, f"of {name!r:.80} must be a number of at least 0"
        ) from None


def _decode_keys(entry: Mapping[str, Any], name: str) -> list[bytes]:
    keys = entry.get("apiKeys", [])
    is_valid = isinstance(keys, list) and all(
        isinstance(key, str) and key for key in keys
    )
    if not is_valid:
        raise _make_error("apiKeys", f"of {name!r:.80} must be a list of texts")
    try:
        return [key.encode() for key in keys]
    except UnicodeEncodeError:
        # JSON can hold single surrogates. The error itself holds the key.
        raise _make_error(
            "apiKeys", f"of {name!r:.80} must be valid Unicode"
        ) from None


def _make_error(field: str, message: str) -> PlatformFormatError:
    return PlatformFormatError("team_invalid", f"{field}: {message}")
