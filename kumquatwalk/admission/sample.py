"""What a gate learns from one finished run."""

import dataclasses

from kumquatwalk.outcome import Outcome

__all__ = ["RunSample"]


@dataclasses.dataclass(frozen=True, slots=True)
class RunSample:
    """Observation of one run at the target.

    Attributes:
        own_time_s: Time at the target less the time that the run waited for
            its own calls.
        outcome: What became of the run.
        shed_by_target: Whether the target refused to run the call.
    """

    own_time_s: float
    outcome: Outcome
    shed_by_target: bool = False
