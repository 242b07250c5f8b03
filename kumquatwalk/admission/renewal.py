"""Whether an announcement comes from a target that has just started."""

from kumquatwalk.membership.member import TargetState

__all__ = ["is_new_target"]


def is_new_target(before: TargetState, after: TargetState) -> bool:
    """Return whether the limit learnt from the target before is void.

    Args:
        before: State announced before.
        after: State announced now.
    """
    if before in (TargetState.ABSENT, TargetState.DRAINING):
        return True
    return before is TargetState.READY and after is TargetState.WARMING
