"""Faults that can be injected into a simulated target."""

import dataclasses
import json

from kumquatwalk.exception import RequestError

__all__ = ["TargetFaults", "parse_faults"]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetFaults:
    """Injected faults; the defaults inject none.

    Attributes:
        service_factor: Multiplier of the service time.
        slots_factor: Multiplier of the reported slots, for false reports.
        report_lag_s: Age of the reports that are sent, in seconds.
        is_report_frozen: Whether the last report is repeated unchanged.
        is_report_stopped: Whether no reports are sent.
        crash_marker: Text in a request body at which the process exits; empty
            for none.
        fail_marker: Text in a request body at which the run fails with status
            500; empty for none.
        silent: How connections that are open when the fault is injected stop
            answering: ``requests`` discards the requests, ``answers`` runs
            them and discards the answers; empty for none.
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
    """Parse faults from a JSON object.

    Args:
        text: JSON object keyed by the attributes of `TargetFaults`; missing
            keys take their default.

    Raises:
        RequestError: The text is not JSON or has unknown keys (code
            ``faults_malformed``).

    Example:
        >>> parse_faults(b'{"service_factor": 3}').service_factor
        3
    """
    try:
        return TargetFaults(**json.loads(text))
    except (ValueError, TypeError) as error:
        raise RequestError("faults_malformed", str(error)) from error
