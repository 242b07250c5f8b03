"""Decisions of rendezvous: which keys to hold, and when to read them."""

import random
from collections.abc import Callable

from kumquatwalk.exception import CompareFailedError
from kumquatwalk.exception import PlatformError
from kumquatwalk.membership.address import Address
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.rendezvous_config import RendezvousConfig
from kumquatwalk.membership.representatives import REPRESENTATIVE_COUNT
from kumquatwalk.membership.representatives import choose_representatives
from kumquatwalk.membership.snapshot import Snapshot
from kumquatwalk.membership.store import Store
from kumquatwalk.membership.store import StoredLease
from kumquatwalk.membership.table import is_living

__all__ = ["RendezvousKeeper", "format_point", "parse_point"]


def make_key(zone: str, rank: int) -> str:
    """Return the key of one of a zone's representatives."""
    return f"rendezvous/{zone}/{rank}"


def format_point(member: Member) -> bytes:
    """Return the value under which a member can be found.

    Args:
        member: A representative.

    Returns:
        Its node id, IP number and UDP port.
    """
    text = f"{member.node_id} {member.host} {member.gossip_port}"
    return text.encode()


def parse_point(value: bytes) -> tuple[str, Address] | None:
    """Return the node id and address in a key's value.

    Args:
        value: Value read from the platform.

    Returns:
        Both parts; None when the value is malformed.
    """
    try:
        node_id, host, port = value.decode().split(" ")
        address = Address(host, int(port))
    except ValueError:
        return None
    return (node_id, address) if 0 < address.port < 65536 else None


class RendezvousKeeper:
    """Decides which keys to hold and when to read them, and does it.

    Only the representatives of a zone hold keys and read the others' regularly;
    any other node reads them only while it knows no other member. So the
    platform's load follows the zones, not the nodes.
    """

    def __init__(
        self,
        config: RendezvousConfig,
        store: Store,
        set_seeds: Callable[[frozenset[Address]], None],
        rng: random.Random,
        now: float,
    ):
        self._config = config
        self._store = store
        self._set_seeds = set_seeds
        self._rng = rng
        self._lease: StoredLease | None = None
        self._held_key = ""
        self._renew_at = now
        self._read_at = now
        self._take_at = now
        self._retry_at = now
        self._backoff_s = config.first_backoff_s

    def step(self, snapshot: Snapshot, now: float) -> float:
        """Do what is due.

        Args:
            snapshot: Present view of the membership.
            now: Monotonic time in seconds.

        Returns:
            Seconds to wait before the next call.
        """
        if now < self._retry_at:
            return self._retry_at - now
        try:
            self._read_if_due(snapshot, now)
            self._hold_if_due(snapshot, now)
        except PlatformError:
            return self._back_off(now)
        self._backoff_s = self._config.first_backoff_s
        return self._config.round_s * (0.75 + self._rng.random() / 2)

    def _back_off(self, now: float) -> float:
        wait_s = self._backoff_s * (0.5 + self._rng.random())
        self._backoff_s = min(self._backoff_s * 2, self._config.max_backoff_s)
        self._retry_at = now + wait_s
        return wait_s

    def _find_rank(self, snapshot: Snapshot) -> int | None:
        members = snapshot.members.values()
        chosen = choose_representatives(members, self._config.zone)
        ids = [member.node_id for member in chosen]
        if self._config.node_id not in ids:
            return None
        return ids.index(self._config.node_id)

    def _read_if_due(self, snapshot: Snapshot, now: float) -> None:
        others = [
            m
            for m in snapshot.members.values()
            if is_living(m) and m.node_id != self._config.node_id
        ]
        if others and self._find_rank(snapshot) is None:
            return
        if others and now < self._read_at:
            return
        self._set_seeds(self._read_points())
        self._read_at = now + self._config.refresh_s

    def _read_points(self) -> frozenset[Address]:
        zones = dict.fromkeys((self._config.zone, *self._config.zones))
        addresses = set()
        for zone in zones:
            for rank in range(REPRESENTATIVE_COUNT):
                found = self._store.get(make_key(zone, rank))
                point = parse_point(found.value) if found else None
                if point is None or point[0] != self._config.node_id:
                    self._forget_key(make_key(zone, rank))
                if point and point[0] != self._config.node_id:
                    addresses.add(point[1])
        return frozenset(addresses)

    def _forget_key(self, key: str) -> None:
        """Note that this node does not hold a key, so that it takes it."""
        if key == self._held_key:
            self._held_key = ""
            self._lease = None

    def _hold_if_due(self, snapshot: Snapshot, now: float) -> None:
        rank = self._find_rank(snapshot)
        key = "" if rank is None else make_key(self._config.zone, rank)
        if key != self._held_key:
            self._lease = None
            self._held_key = ""
            if key and now >= self._take_at:
                self._take_at = now + self._config.lease_s / 3
                self._take_key(key, snapshot, now)
        elif self._lease is not None and now >= self._renew_at:
            self._renew(now)

    def _take_key(self, key: str, snapshot: Snapshot, now: float) -> None:
        """Write the key unless another holds it that is not known to be gone.

        An unknown holder keeps it, because this node may know too little yet.
        """
        found = self._store.get(key)
        point = parse_point(found.value) if found else None
        if point and point[0] != self._config.node_id:
            holder = snapshot.get(point[0])
            if holder is None or is_living(holder):
                return
        lease = self._store.grant_lease(self._config.lease_s)
        own = snapshot.members[self._config.node_id]
        revision = found.revision if found else 0
        try:
            self._store.put(key, format_point(own), revision, lease.lease_id)
        except CompareFailedError:
            return
        self._lease = lease
        self._held_key = key
        self._renew_at = now + lease.ttl_s / 3

    def _renew(self, now: float) -> None:
        lease = self._lease
        self._lease = None
        held_key = self._held_key
        self._held_key = ""
        self._store.renew_lease(lease.lease_id)
        self._lease = lease
        self._held_key = held_key
        self._renew_at = now + lease.ttl_s / 3
