"""Admission control: at the ingress, at each target and per route."""

from kumquatwalk.admission.ingress import IngressLoadShedder
from kumquatwalk.admission.ingress import ServiceLoad
from kumquatwalk.admission.probabilities import RouteDemand
from kumquatwalk.admission.route_limits import RouteLimits
from kumquatwalk.admission.target_limiter import AdmissionRequest
from kumquatwalk.admission.target_limiter import Refusal
from kumquatwalk.admission.target_limiter import TargetLimiter

__all__ = [
    "IngressLoadShedder",
    "AdmissionRequest",
    "Refusal",
    "RouteDemand",
    "RouteLimits",
    "ServiceLoad",
    "TargetLimiter",
]
