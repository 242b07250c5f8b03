"""Fleet configuration: routes, services and limits that operators set."""

from kumquatwalk.config.fleet_config import CallerLimits
from kumquatwalk.config.fleet_config import FleetConfig
from kumquatwalk.config.fleet_config import ServiceConfig
from kumquatwalk.config.route import Route
from kumquatwalk.config.route import ServiceShare
from kumquatwalk.config.team import Team
from kumquatwalk.config.team import TeamTable

__all__ = [
    "CallerLimits",
    "FleetConfig",
    "Route",
    "ServiceConfig",
    "ServiceShare",
    "Team",
    "TeamTable",
]
