"""Failure detector: direct and indirect probes of one member at a time."""

import dataclasses
import math
import random

from kumquatwalk.membership.address import Address
from kumquatwalk.membership.kind import MessageKind
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.probe import Probe
from kumquatwalk.membership.relay import Relay
from kumquatwalk.membership.schedule import ProbeSchedule
from kumquatwalk.membership.table import MemberTable
from kumquatwalk.membership.timing import Timing
from kumquatwalk.membership.transmitter import Transmitter

__all__ = ["Prober", "address_of"]

MAX_RELAYS = 256


def address_of(member: Member) -> Address:
    """Return where a member takes membership messages.

    Args:
        member: The member.

    Returns:
        Its UDP address.
    """
    return Address(member.host, member.gossip_port)


class Prober:
    """Probes members in turn, directly and through others (SWIM)."""

    def __init__(
        self,
        own_id: str,
        table: MemberTable,
        transmitter: Transmitter,
        timing: Timing,
        rng: random.Random,
        now: float,
    ):
        self.schedule = ProbeSchedule(own_id, rng)
        self._own_id = own_id
        self._table = table
        self._transmitter = transmitter
        self._timing = timing
        self._rng = rng
        self._probe: Probe | None = None
        self._next_probe_at = now + rng.random() * timing.probe_interval_s
        self._relays: dict[int, Relay] = {}

    @property
    def due_at(self) -> float:
        """Return when ``tick`` has something to do, monotonic seconds."""
        if self._probe is None:
            return self._next_probe_at
        return min(self._next_probe_at, self._probe.waits_until)

    def tick(self, now: float) -> Member | None:
        """Start the next probe or ask others to probe.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The member whose probe has failed, if one has.
        """
        if now >= self._next_probe_at:
            failed = self._probe
            self._start_probe(now)
            return failed.member if failed else None
        if self._probe is not None and now >= self._probe.waits_until:
            self._ask_others(self._probe, now)
        return None

    def forgive(self, now: float) -> None:
        """Drop the probe in progress; its answer may have been missed.

        Args:
            now: Monotonic time in seconds.
        """
        self._probe = None
        self._next_probe_at = now + self._timing.probe_interval_s

    def answer_ping(
        self, address: Address, sequence: int, sender: str, now: float
    ) -> None:
        """Answer a probe.

        Args:
            address: Address that the probe came from.
            sequence: Number of the probe.
            sender: Node id of the prober.
            now: Monotonic time in seconds.
        """
        self._transmitter.send(
            MessageKind.ACK, address, now, sequence=sequence, receiver=sender
        )

    def relay_ping(
        self, address: Address, sequence: int, target: Address, now: float
    ) -> None:
        """Probe a member on behalf of another node.

        Args:
            address: Address of the node that asked.
            sequence: That node's number for the probe.
            target: Address to probe.
            now: Monotonic time in seconds.
        """
        if len(self._relays) >= MAX_RELAYS:
            return
        own_sequence = self._transmitter.next_sequence()
        expires_at = now + self._timing.probe_interval_s
        self._relays[own_sequence] = Relay(address, sequence, expires_at)
        self._transmitter.send(
            MessageKind.PING, target, now, sequence=own_sequence
        )

    def take_ack(self, sequence: int, now: float) -> None:
        """Take the answer to a probe and pass it on if it was for another.

        Args:
            sequence: Number of the probe.
            now: Monotonic time in seconds.
        """
        if self._probe is not None and sequence == self._probe.sequence:
            self._probe = None
            return
        relay = self._relays.pop(sequence, None)
        if relay is not None:
            self._transmitter.send(
                MessageKind.ACK, relay.requester, now, sequence=relay.sequence
            )

    def expire(self, now: float) -> None:
        """Forget probes made for others that were not answered in time.

        Args:
            now: Monotonic time in seconds.
        """
        old = [n for n, relay in self._relays.items() if relay.expires_at < now]
        for sequence in old:
            del self._relays[sequence]

    def _start_probe(self, now: float) -> None:
        self._next_probe_at = now + self._timing.probe_interval_s
        self._probe = None
        member = self.schedule.choose(self._table)
        if member is None:
            return
        sequence = self._transmitter.next_sequence()
        sent = self._transmitter.send(
            MessageKind.PING,
            address_of(member),
            now,
            sequence=sequence,
            receiver=member.node_id,
        )
        if sent:
            waits_until = now + self._timing.ack_timeout_s
            self._probe = Probe(member, sequence, waits_until)

    def _ask_others(self, probe: Probe, now: float) -> None:
        self._probe = dataclasses.replace(probe, waits_until=math.inf)
        exclude = frozenset((self._own_id, probe.member.node_id))
        helpers = self._table.sample(
            self._rng, self._timing.indirect_probes, exclude
        )
        for helper in helpers:
            self._transmitter.send(
                MessageKind.PING_REQUEST,
                address_of(helper),
                now,
                sequence=probe.sequence,
                receiver=helper.node_id,
                target=address_of(probe.member),
            )
