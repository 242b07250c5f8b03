"""State of the target beside the node, from heartbeats and probes."""

import dataclasses

from kumquatwalk.targets.heartbeat import Heartbeat
from kumquatwalk.targets.heartbeat import TargetState

__all__ = ["TargetRecord"]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """Last accepted state of the target; immutable.

    Attributes:
        target_id: Identifier of the target; empty while unknown.
        incarnation: Start time of the target in Unix milliseconds; 0 when
            unknown.
        sequence: Sequence number of the last heartbeat; -1 before the first.
        state: Whether it accepts new requests.
        slots: Number of requests that it runs at once; 0 when unknown.
        cold_until: Time at which its cold start ends, in seconds.
        superseded: Identifiers of the targets that it has replaced.
    """

    target_id: str = ""
    incarnation: int = 0
    sequence: int = -1
    state: TargetState = TargetState.UNKNOWN
    slots: int = 0
    cold_until: float = 0.0
    superseded: frozenset[str] = frozenset()

    def handle_heartbeat(
        self, heartbeat: Heartbeat, now: float
    ) -> "TargetRecord":
        """Return the record updated by a heartbeat.

        A heartbeat with an older incarnation or sequence number is ignored, so
        that a delayed one does not restore a target that has been replaced. A
        target that is draining or gone does not become ready again within the
        same incarnation.

        Args:
            heartbeat: Received heartbeat.
            now: Current time, in seconds.

        Returns:
            The new record, or this one when the heartbeat is ignored.
        """
        if self._is_older(heartbeat):
            return self
        is_new_target = self._is_new_target(heartbeat)
        state = heartbeat.state
        if not is_new_target and self.state in (
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

    def handle_probe(self, target_id: str, slots: int) -> "TargetRecord":
        """Return the record updated by a successful health check.

        Only a target in state ``UNKNOWN`` becomes ready; heartbeats take
        precedence over health checks.

        Args:
            target_id: Identifier in the response; when it is empty, the health
                check is ignored.
            slots: Number of slots in the response; 0 when not reported.
        """
        if self.state is not TargetState.UNKNOWN or not target_id:
            return self
        return dataclasses.replace(
            self,
            target_id=target_id,
            state=TargetState.READY,
            slots=slots,
        )

    def handle_departure(self, target_id: str) -> "TargetRecord":
        """Return the record after a target has deregistered.

        Args:
            target_id: Identifier of the target. Nothing changes when another
                target is known to be current.
        """
        if self.target_id and target_id != self.target_id:
            return self
        return dataclasses.replace(
            self, target_id=target_id, state=TargetState.GONE
        )

    def mark_leaving(self) -> "TargetRecord":
        """Return the record after the target said that it leaves."""
        if self.state is TargetState.GONE:
            return self
        return dataclasses.replace(self, state=TargetState.DRAINING)

    def mark_replaced(self) -> "TargetRecord":
        """Return the record after another target responded at the address."""
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
        has_incarnations = heartbeat.incarnation and self.incarnation
        return (
            bool(has_incarnations) and heartbeat.incarnation != self.incarnation
        )
