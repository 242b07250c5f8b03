"""A call that runs at the target."""

import dataclasses

from kumquatwalk.admission.call import AdmissionCall

__all__ = ["RunningCall"]


@dataclasses.dataclass(frozen=True, slots=True)
class RunningCall:
    """A call that runs.

    Attributes:
        call: The call.
        started_at: Time of admission.
    """

    call: AdmissionCall
    started_at: float
