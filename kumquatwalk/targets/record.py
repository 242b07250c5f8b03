"""State of the target beside the node, from heartbeats and probes."""

import dataclasses

from kumquatwalk.targets.heartbeat import Heartbeat
from kumquatwalk.targets.heartbeat import TargetState

__all__ = ["LATE_HEARTBEAT_MAX_S", "TargetRecord"]

# Maximum time for which a heartbeat may be delayed, in seconds. One that comes
# later than this after another of its target was sent after that one came.
LATE_HEARTBEAT_MAX_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """Last accepted state of the target; immutable.

    A heartbeat that says that a target is ready may be late, and date from
    before the target left. Where the record cannot tell, because the process
    has just started or the start times cannot be compared, the heartbeat is
    unconfirmed until the target answers a probe under the same identifier, or
    until its heartbeats have gone on for ``LATE_HEARTBEAT_MAX_S``. Only the
    latter confirms it if a start of the target that is not known leaves.

    Whatever process has the address answers health checks. Only heartbeats name
    a service, so a health check opens only targets that one has named.

    Attributes:
        target_id: Identifier of the target; empty while unknown.
        incarnation: Start time of the target in Unix milliseconds; 0 when
            unknown.
        sequence: Sequence number of the last heartbeat; -1 before the first.
        state: Whether it accepts new requests.
        slots: Number of requests that it runs at once; 0 when unknown.
        cold_until: Time at which its cold start ends, in seconds.
        superseded: Identifiers of the targets that it has replaced.
        departed: Identifiers of other targets that have said that they leave.
        known: Identifiers of targets that are known to be of the service of
            this node.
        is_probed: Whether the target is probed, so that heartbeats can be
            confirmed; otherwise all are taken as they come.
        is_confirmed: Whether any target has been confirmed since the start.
        unconfirmed: Heartbeat that waits to be confirmed; None without one.
        unconfirmed_since: Time of the first heartbeat of its target, in
            seconds.
    """

    target_id: str = ""
    incarnation: int = 0
    sequence: int = -1
    state: TargetState = TargetState.UNKNOWN
    slots: int = 0
    cold_until: float = 0.0
    superseded: frozenset[str] = frozenset()
    departed: frozenset[str] = frozenset()
    known: frozenset[str] = frozenset()
    is_probed: bool = False
    is_confirmed: bool = False
    unconfirmed: Heartbeat | None = None
    unconfirmed_since: float = 0.0

    @property
    def is_leaving(self) -> bool:
        """Whether the target has said that it leaves."""
        return self.state in (TargetState.DRAINING, TargetState.GONE)

    def is_of_other_start(self, before: "TargetRecord") -> bool:
        """Return whether the target has been started since an earlier record.

        Args:
            before: Earlier record of the same node.

        Returns:
            Whether it surely has. An earlier record without a target, or a
            start that is not known, does not tell.
        """
        if not before.target_id:
            return False
        if self.target_id != before.target_id:
            return True
        if self.incarnation and before.incarnation:
            if self.incarnation != before.incarnation:
                return True
        return before.is_leaving and self.state is TargetState.READY

    def handle_heartbeat(
        self, heartbeat: Heartbeat, now: float
    ) -> "TargetRecord":
        """Return the record updated by a heartbeat.

        A heartbeat with an older incarnation or sequence number is ignored, so
        that a delayed one does not restore a target that has been replaced. A
        target that is draining or gone does not become ready again within the
        same incarnation.

        Args:
            heartbeat: Received heartbeat of a target of this node's service.
            now: Current time, in seconds.

        Returns:
            The new record, or this one when the heartbeat is ignored.
        """
        if self.is_probed and heartbeat.target_id not in self.known:
            known = self.add_known(heartbeat.target_id)
            return known.handle_heartbeat(heartbeat, now)
        if self._is_older(heartbeat):
            return self
        if heartbeat.state is TargetState.DRAINING:
            if self._is_of_unplaced_target(heartbeat):
                return self._add_departed(heartbeat.target_id)
        elif heartbeat.state is TargetState.READY:
            if self._needs_confirmation(heartbeat):
                return self._wait_for_confirmation(heartbeat, now)
        return self._accept(heartbeat, now)

    def handle_probe(
        self, target_id: str, slots: int, asked_at: float, now: float
    ) -> "TargetRecord":
        """Return the record updated by a successful health check.

        A known target in state ``UNKNOWN`` becomes ready, and an unconfirmed
        heartbeat of the target that answered is accepted if it came before the
        health check was sent, or if the target becomes ready anyway. Otherwise
        heartbeats take precedence over health checks.

        Args:
            target_id: Identifier in the response; when it is empty, the health
                check is ignored.
            slots: Number of slots in the response; 0 when not reported.
            asked_at: Time at which the health check was sent, in seconds.
            now: Current time, in seconds.
        """
        if not target_id:
            return self
        record, unconfirmed = self, self.unconfirmed
        if unconfirmed is not None and asked_at >= self.unconfirmed_since:
            if unconfirmed.target_id == target_id:
                if self._may_have_left(unconfirmed):
                    # A target that leaves may answer health checks.
                    return self
                return self._accept(unconfirmed, now, is_confirmed=True)
            record = dataclasses.replace(self, unconfirmed=None)
        if self.state is not TargetState.UNKNOWN or target_id in self.departed:
            return record
        if target_id not in self.known:
            return record
        if unconfirmed is not None and unconfirmed.target_id == target_id:
            # The target is ready in any case; the heartbeat tells its start.
            return self._accept(unconfirmed, now, is_confirmed=True)
        if target_id != self.target_id:
            # Nothing is known of this target's start yet.
            record = TargetRecord(
                target_id=target_id,
                departed=self.departed,
                known=self.known,
                is_probed=self.is_probed,
            )
        return dataclasses.replace(
            record,
            state=TargetState.READY,
            slots=slots,
            superseded=self._list_superseded(target_id),
            is_confirmed=True,
            unconfirmed=None,
        )

    def handle_departure(self, target_id: str) -> "TargetRecord":
        """Return the record after a target has deregistered.

        Args:
            target_id: Identifier of the target. The state does not change when
                another target is known to be current.
        """
        if self.target_id and target_id != self.target_id:
            return self._add_departed(target_id)
        return dataclasses.replace(
            self._drop_unconfirmed(target_id),
            target_id=target_id,
            state=TargetState.GONE,
        )

    def add_known(self, target_id: str) -> "TargetRecord":
        """Return the record with a target that is of the node's service.

        Args:
            target_id: Identifier of the target.
        """
        return dataclasses.replace(self, known=self.known | {target_id})

    def remove_known(self, target_id: str) -> "TargetRecord":
        """Return the record after a target was found to be of another service.

        Args:
            target_id: Identifier of the target; if it is in use, the state
                becomes unknown.
        """
        if target_id not in self.known:
            return self
        record = dataclasses.replace(
            self._drop_unconfirmed(target_id), known=self.known - {target_id}
        )
        is_in_use = target_id == self.target_id and not self.is_leaving
        return record.mark_replaced() if is_in_use else record

    def mark_leaving(self) -> "TargetRecord":
        """Return the record after the target said that it leaves."""
        if self.state is TargetState.GONE:
            return self
        return dataclasses.replace(self, state=TargetState.DRAINING)

    def apply_departure(self, incarnation: int) -> "TargetRecord":
        """Return the record after others told that a start of it has left.

        Args:
            incarnation: Start of the target that has left. The current start
                may be the same one if it is not known.
        """
        may_be_same = self.incarnation in (0, incarnation)
        if self.state is not TargetState.READY or not may_be_same:
            return self
        return dataclasses.replace(
            self, state=TargetState.DRAINING, incarnation=incarnation
        )

    def mark_replaced(self) -> "TargetRecord":
        """Return the record after another target responded at the address."""
        return dataclasses.replace(
            self,
            state=TargetState.UNKNOWN,
            superseded=self.superseded | {self.target_id},
        )

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

    def _is_of_unplaced_target(self, heartbeat: Heartbeat) -> bool:
        """Return whether it is another target's, of earlier or later start."""
        return (
            self.is_probed
            and bool(self.target_id)
            and heartbeat.target_id != self.target_id
            and not (heartbeat.incarnation and self.incarnation)
        )

    def _is_same_start(self, heartbeat: Heartbeat) -> bool:
        """Return whether the heartbeat is surely of the current start."""
        return (
            heartbeat.target_id == self.target_id
            and heartbeat.incarnation == self.incarnation != 0
        )

    def _may_have_left(self, heartbeat: Heartbeat) -> bool:
        """Return whether the heartbeat may be of the start that leaves."""
        return (
            self.state is TargetState.DRAINING
            and heartbeat.target_id == self.target_id
            and not (heartbeat.incarnation and self.incarnation)
        )

    def _needs_confirmation(self, heartbeat: Heartbeat) -> bool:
        if not self.is_probed:
            return False
        if self.is_leaving and self._is_same_start(heartbeat):
            return False
        target_id = heartbeat.target_id
        return (
            not self.is_confirmed
            or self._may_have_left(heartbeat)
            or target_id in self.departed
            or self._is_of_unplaced_target(heartbeat)
            # It was found to have been replaced.
            or (target_id == self.target_id and target_id in self.superseded)
        )

    def _wait_for_confirmation(
        self, heartbeat: Heartbeat, now: float
    ) -> "TargetRecord":
        waiting = self.unconfirmed
        if waiting is not None:
            if waiting.incarnation > heartbeat.incarnation > 0:
                return self
            is_same_start = (waiting.target_id, waiting.incarnation) == (
                heartbeat.target_id,
                heartbeat.incarnation,
            )
            if is_same_start:
                if heartbeat.sequence <= waiting.sequence:
                    return self
                if now - self.unconfirmed_since > LATE_HEARTBEAT_MAX_S:
                    return self._accept(heartbeat, now, is_confirmed=True)
                return dataclasses.replace(self, unconfirmed=heartbeat)
        return dataclasses.replace(
            self, unconfirmed=heartbeat, unconfirmed_since=now
        )

    def _accept(
        self, heartbeat: Heartbeat, now: float, is_confirmed: bool = False
    ) -> "TargetRecord":
        target_id = heartbeat.target_id
        # A target that has left, and answers a probe or goes on sending
        # heartbeats, may have been started again, but not under the same start
        # time.
        is_restarted = is_confirmed and not self._is_same_start(heartbeat)
        has_left = self.is_leaving and not self._is_new_target(heartbeat)
        return dataclasses.replace(
            self._drop_unconfirmed(target_id),
            target_id=target_id,
            incarnation=heartbeat.incarnation,
            sequence=heartbeat.sequence,
            state=(
                self.state if has_left and not is_restarted else heartbeat.state
            ),
            slots=heartbeat.slots,
            cold_until=now + heartbeat.cold_left_s,
            superseded=self._list_superseded(target_id),
            departed=self.departed - ({target_id} if is_confirmed else set()),
            is_confirmed=is_confirmed or self.is_confirmed,
        )

    def _list_superseded(self, target_id: str) -> frozenset[str]:
        return (self.superseded | {self.target_id}) - {target_id, ""}

    def _add_departed(self, target_id: str) -> "TargetRecord":
        return dataclasses.replace(
            self._drop_unconfirmed(target_id),
            departed=self.departed | {target_id},
        )

    def _drop_unconfirmed(self, target_id: str) -> "TargetRecord":
        waiting = self.unconfirmed
        if waiting is None or waiting.target_id != target_id:
            return self
        return dataclasses.replace(self, unconfirmed=None)
