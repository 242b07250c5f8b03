"""Decides which process writes the record of a zone, and when."""

import math

from kumquatwalk.caps.record import CapRecord
from kumquatwalk.caps.right import RECORD_LIFETIME_S
from kumquatwalk.caps.right import LendingRight
from kumquatwalk.platform.store_position import ABSENT
from kumquatwalk.platform.store_position import StorePosition

__all__ = ["RecordObserver"]


class RecordObserver:
    """Observes the record of a zone and plans this process's writes to it.

    Every write must be made by compare-and-swap at ``position``. An old state
    of the store may be observed: a record is then taken to be younger than it
    is, and a write at an outdated position fails.

    Args:
        node_id: Identifier of this node.
        incarnation: Incarnation of this process.

    Attributes:
        record: Record seen last; None if there was none.
        position: Its position; ``ABSENT`` if there was none.
    """

    def __init__(self, node_id: str, incarnation: int):
        self._node_id = node_id
        self._incarnation = incarnation
        self._seen_at = -math.inf
        self._held_off_until = -math.inf
        self._is_observed = False
        self.record: CapRecord | None = None
        self.position = ABSENT

    @property
    def holds_record(self) -> bool:
        """Whether the record seen last is this process's."""
        record = self.record
        return (
            record is not None
            and record.holder == self._node_id
            and record.incarnation == self._incarnation
        )

    def observe(
        self, record: CapRecord | None, position: StorePosition, now: float
    ) -> None:
        """Record what the store holds.

        Args:
            record: The record; None if the key does not exist.
            position: Position of the record; ``ABSENT`` without one.
            now: Time at which the answer was read, in seconds.
        """
        if not self._is_observed or position != self.position:
            self._seen_at = now
        self._is_observed = True
        self.record = record
        self.position = position

    def handle_restore(self, now: float) -> None:
        """Hold off, as the store was restored from a copy.

        The copy may have lost the record of a process that lends. That process
        writes it again within its lifetime.

        Args:
            now: Current time, in seconds.
        """
        self._held_off_until = now + RECORD_LIFETIME_S

    def plan(
        self, right: LendingRight, is_candidate: bool, now: float
    ) -> CapRecord | None:
        """Return the record to write, or None.

        Args:
            right: Right of this process to lend.
            is_candidate: Whether this node may take the record.
            now: Current time, in seconds.
        """
        if not self._is_observed:
            return None
        if self.holds_record:
            return self._renew(right, now)
        share = right.measure_share(now)
        if share and now < self._held_off_until:
            # The copy of the store has lost this process's record.
            return self._make(share)
        record = self.record
        if record is not None and record.holder == self._node_id:
            # An earlier process of this node, which has ended: its tokens are
            # counted as this one begins with empty buckets.
            return self._make(record.fraction)
        if not is_candidate or now < self._held_off_until:
            return None
        return self._take_over(now)

    def _take_over(self, now: float) -> CapRecord | None:
        record = self.record
        if record is None:
            return self._make(1.0)
        if not record.holder:
            return self._make(record.fraction)
        if now - self._seen_at > RECORD_LIFETIME_S:
            # Its holder may lend the other half for a while.
            return self._make(0.5 * record.fraction)
        return None

    def _renew(self, right: LendingRight, now: float) -> CapRecord:
        fraction = self.record.fraction
        if now >= right.whole_at:
            fraction = 1.0
        return self._make(fraction)

    def _make(self, fraction: float) -> CapRecord:
        return CapRecord(self._node_id, self._incarnation, fraction)
