"""Faults that can be switched on in a stand-in target."""

import dataclasses
import json

from kumquatwalk.exception import RequestError

__all__ = ["TargetFaults", "parse_faults"]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetFaults:
    """Faults in force.

    Attributes:
        service_factor: Factor on the service time.
        slots_factor: Factor on the slots announced, which makes reports false.
        report_lag_s: Age of the reports sent, in seconds.
        is_report_frozen: Whether the same report is sent again and again.
        is_report_stopped: Whether no report is sent.
        crash_marker: The process ends at once when a body holds this text.
        fail_marker: A run whose body holds this text fails with status 500.
        silent: Connections open when the fault is switched on go silent for
            good: ``requests`` loses what arrives on them, ``answers`` runs it
            and loses the answer; empty for none.
    """

    service_factor: float = 1.0
    slots_factor: float = 1.0
    report_lag_s: float = 0.0
    is_report_frozen: bool = False
    is_report_stopped: bool = False
    crash_marker: str = ""
    fail_marker: str = ""
    silent: str = ""


def parse_faults(text: bytes) -> TargetFaults:
    """Read faults from a JSON object whose keys are the attributes' names.

    Args:
        text: JSON object; attributes left out are without fault.

    Returns:
        The faults.

    Raises:
        RequestError: The text is no such object.

    Example:
        >>> parse_faults(b'{"service_factor": 3}').service_factor
        3
    """
    try:
        return TargetFaults(**json.loads(text))
    except (ValueError, TypeError) as error:
        raise RequestError("faults_malformed", str(error)) from error
