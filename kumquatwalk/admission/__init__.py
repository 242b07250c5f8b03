"""Admission at a target: concurrency limit, queue and admission level."""

from kumquatwalk.admission.call import AdmissionCall
from kumquatwalk.admission.call import order_key
from kumquatwalk.admission.gate import AdmissionGate
from kumquatwalk.admission.notice import Admitted
from kumquatwalk.admission.notice import Notice
from kumquatwalk.admission.notice import Refused
from kumquatwalk.admission.sample import RunSample
from kumquatwalk.admission.state import AdmissionState
from kumquatwalk.admission.verdict import AdmissionVerdict

__all__ = [
    "AdmissionCall",
    "AdmissionGate",
    "AdmissionState",
    "AdmissionVerdict",
    "Admitted",
    "Notice",
    "Refused",
    "RunSample",
    "order_key",
]
