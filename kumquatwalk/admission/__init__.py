"""Admission control: at the ingress, at each target and per route."""

from kumquatwalk.admission.front_gate import FrontGate
from kumquatwalk.admission.front_gate import RouteDemand
from kumquatwalk.admission.front_gate import ServiceLoad
from kumquatwalk.admission.route_limits import RouteLimits
from kumquatwalk.admission.target_gate import GateCall
from kumquatwalk.admission.target_gate import Refusal
from kumquatwalk.admission.target_gate import TargetGate

__all__ = [
    "FrontGate",
    "GateCall",
    "Refusal",
    "RouteDemand",
    "RouteLimits",
    "ServiceLoad",
    "TargetGate",
]
