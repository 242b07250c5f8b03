"""Roster of nodes, kept in the platform's store under leases."""

from kumquatwalk.roster.entry import RosterEntry
from kumquatwalk.roster.table import RosterTable

__all__ = ["RosterEntry", "RosterTable"]
