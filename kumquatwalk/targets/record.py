"""What is known of the target beside the node, from its heartbeats."""

import dataclasses

from kumquatwalk.targets.heartbeat import Heartbeat
from kumquatwalk.targets.heartbeat import TargetState

__all__ = ["TargetRecord"]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """Latest accepted news of the target.

    Attributes:
        target_id: Identifier of the target; empty while unknown.
        incarnation: Start of the target in Unix milliseconds; 0 when unknown.
        sequence: Number of the last heartbeat; -1 before the first.
        state: Whether it takes new work.
        slots: Requests that it runs at once; 0 when unknown.
        cold_until: Time until which it is slow after its start.
        superseded: Identifiers of targets that this one came after.
    """

    target_id: str = ""
    incarnation: int = 0
    sequence: int = -1
    state: TargetState = TargetState.UNKNOWN
    slots: int = 0
    cold_until: float = 0.0
    superseded: frozenset[str] = frozenset()

    def take_heartbeat(
        self, heartbeat: Heartbeat, now: float
    ) -> "TargetRecord":
        """Return the record after a heartbeat.

        An older incarnation or sequence changes nothing, so that a heartbeat
        delayed on its way does not revive a target that has been replaced. A
        target that is draining or gone does not become ready again within the
        same incarnation.

        Args:
            heartbeat: The heartbeat.
            now: Present time.
        """
        if self._is_older(heartbeat):
            return self
        is_new = self._is_new_target(heartbeat)
        state = heartbeat.state
        if not is_new and self.state in (
            TargetState.DRAINING,
            TargetState.GONE,
        ):
            state = self.state
        superseded = self.superseded
        if self.target_id and self.target_id != heartbeat.target_id:
            superseded |= {self.target_id}
        return TargetRecord(
            target_id=heartbeat.target_id,
            incarnation=heartbeat.incarnation,
            sequence=heartbeat.sequence,
            state=state,
            slots=heartbeat.slots,
            cold_until=now + heartbeat.cold_left_s,
            superseded=superseded - {heartbeat.target_id},
        )

    def take_probe(self, target_id: str, slots: int) -> "TargetRecord":
        """Return the record after a health check that the target passed.

        Args:
            target_id: Identifier that the target answered with.
            slots: Slots that it answered with; 0 when it did not say.
        """
        if self.state is not TargetState.UNKNOWN or not target_id:
            return self
        return dataclasses.replace(
            self,
            target_id=target_id,
            state=TargetState.READY,
            slots=slots,
        )

    def take_departure(self, target_id: str) -> "TargetRecord":
        """Return the record after the target has deregistered.

        Args:
            target_id: Identifier of the target that leaves.
        """
        if self.target_id and target_id != self.target_id:
            return self
        return dataclasses.replace(
            self, target_id=target_id, state=TargetState.GONE
        )

    def mark_replaced(self) -> "TargetRecord":
        """Return the record after another target answered at the address."""
        return dataclasses.replace(self, state=TargetState.UNKNOWN)

    def _is_older(self, heartbeat: Heartbeat) -> bool:
        if heartbeat.incarnation and self.incarnation:
            if heartbeat.incarnation != self.incarnation:
                return heartbeat.incarnation < self.incarnation
        elif heartbeat.target_id in self.superseded:
            return True
        is_same = heartbeat.target_id == self.target_id
        return is_same and heartbeat.sequence <= self.sequence

    def _is_new_target(self, heartbeat: Heartbeat) -> bool:
        if heartbeat.target_id != self.target_id:
            return True
        both = heartbeat.incarnation and self.incarnation
        return bool(both) and heartbeat.incarnation != self.incarnation
