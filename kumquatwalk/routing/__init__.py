"""Choice of targets and early refusal, from what this node has seen."""

from kumquatwalk.routing.candidates import Candidates
from kumquatwalk.routing.choice import Choice
from kumquatwalk.routing.choice import choose_target
from kumquatwalk.routing.levels import EntryLevels
from kumquatwalk.routing.table import RouteTable
from kumquatwalk.routing.view import TargetView

__all__ = [
    "Candidates",
    "Choice",
    "EntryLevels",
    "RouteTable",
    "TargetView",
    "choose_target",
]
