"""Entries, calls and run samples for the tests of admission."""

from kumquatwalk.admission.call import AdmissionCall
from kumquatwalk.admission.sample import RunSample
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.limits import Limits
from kumquatwalk.membership.member import TargetInfo
from kumquatwalk.membership.member import TargetState
from kumquatwalk.outcome import Outcome

__all__ = ["DONE", "SHED", "make_call", "make_entry", "make_target"]

DONE = RunSample(0.01, Outcome.DONE)
SHED = RunSample(0.001, Outcome.NOT_RUN, shed_by_target=True)


def make_entry(name="pay", in_flight=1000, rate_per_s=1e6):
    """Return an entry with the limits given.

    Args:
        name: Name of the entry.
        in_flight: Limit on calls in progress.
        rate_per_s: Limit on the rate.

    Returns:
        The entry.
    """
    limits = Limits(in_flight, rate_per_s, retries=3, time_ms=2000)
    return Entry(name, "owner", "svc", Importance.NORMAL, True, limits)


def make_call(
    call_id, priority=0, depth=0, deadline=100.0, is_suspect=False, entry=None
):
    """Return a call to offer to a gate.

    Args:
        call_id: Identifier.
        priority: Priority.
        depth: Depth.
        deadline: Deadline.
        is_suspect: Whether the call is a suspect.
        entry: Entry called.

    Returns:
        The call.
    """
    entry = entry or make_entry()
    return AdmissionCall(call_id, entry, priority, depth, deadline, is_suspect)


def make_target(slots=2, state=TargetState.READY):
    """Return the announcement of a target.

    Args:
        slots: Slots announced.
        state: State announced.

    Returns:
        The announcement.
    """
    return TargetInfo("svc", slots, 0, state)
