"""Membership: the roster of nodes, stored under leases in the platform."""

from kumquatwalk.roster.entry import RosterEntry
from kumquatwalk.roster.table import RosterTable

__all__ = ["RosterEntry", "RosterTable"]
