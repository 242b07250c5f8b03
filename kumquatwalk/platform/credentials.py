"""Decoder of the key with which a caller's request names its team."""

import dataclasses
import re

from kumquatwalk.config.team import TeamTable
from kumquatwalk.daemon.caller_request import CallerRequest
from kumquatwalk.http1.message import Header
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.platform import names

__all__ = ["identify_team"]

# A longer key is refused before it is looked up.
KEY_BYTES_MAX = 256
_CREDENTIAL = re.compile(
    rb"[Tt][Oo][Kk][Ee][Nn] +([!-~]{1,%d})" % KEY_BYTES_MAX
)
_TEAM_HEADERS = frozenset((names.HEADER_AUTHORIZATION, names.HEADER_TEAM))


def identify_team(
    request: HttpRequest, caller: CallerRequest, teams: TeamTable
) -> CallerRequest:
    """Return a request with the team that its key belongs to.

    The key and what the caller says of its team are not forwarded. The target
    gets the name of the team if there is one.

    Args:
        request: Request as received.
        caller: Fields decoded from its headers.
        teams: Teams in force.
    """
    team = teams.find(_read_key(request.headers))
    headers = tuple(
        h for h in caller.headers if h[0].lower() not in _TEAM_HEADERS
    )
    if team is not None:
        headers += ((b"Tenant", team.name.encode()),)
    return dataclasses.replace(caller, headers=headers, team=team)


def _read_key(headers: tuple[Header, ...]) -> bytes | None:
    """Return the key; None if it is missing, repeated or malformed."""
    values = [
        value
        for name, value in headers
        if name.lower() == names.HEADER_AUTHORIZATION
    ]
    if len(values) != 1:
        return None
    match = _CREDENTIAL.fullmatch(values[0].strip())
    return None if match is None else match.group(1)
