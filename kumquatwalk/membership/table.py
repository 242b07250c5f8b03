"""Table of all known members and the rules by which records merge."""

import dataclasses
import hashlib
import random
import zlib

from kumquatwalk.membership.claim import StateClaim
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import MemberState

__all__ = ["BUCKET_COUNT", "MemberTable", "TOMBSTONE_S", "is_living"]

BUCKET_COUNT = 128
TOMBSTONE_S = 3600.0


def is_living(member: Member) -> bool:
    """Return whether a member is ALIVE or SUSPECT.

    Args:
        member: Member to judge.

    Returns:
        False for DEAD and LEFT.
    """
    return member.state <= MemberState.SUSPECT


def _precedence(member: Member) -> tuple[int, int, int]:
    return member.incarnation, member.version, member.state


def _hash_record(member: Member) -> int:
    text = f"{member.node_id} {member.incarnation} {member.version}"
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "little")


def _bucket_of(node_id: str) -> int:
    return zlib.crc32(node_id.encode()) % BUCKET_COUNT


class MemberTable:
    """All known members, each in its newest known record.

    Records merge by the highest (incarnation, version, state), so that merging
    is commutative, associative and idempotent. The catalogue revision is kept
    apart: it is the highest seen for the incarnation. DEAD and LEFT records
    stay as tombstones for ``TOMBSTONE_S``.

    The living members are summed up in a digest, and in one digest for each of
    ``BUCKET_COUNT`` buckets, kept up to date with each change.
    """

    def __init__(self):
        self._members: dict[str, Member] = {}
        self._ended_at: dict[str, float] = {}
        self._living: list[str] = []
        self._positions: dict[str, int] = {}
        self._buckets: list[dict[str, None]] = [{} for _ in range(BUCKET_COUNT)]
        self._bucket_digests = [0] * BUCKET_COUNT
        self.digest = 0
        self.sequence = 0
        self.revision_sequence = 0

    @property
    def members(self) -> dict[str, Member]:
        """Return all records by node id; not to be changed."""
        return self._members

    @property
    def living(self) -> list[str]:
        """Return the ids of the living members; not to be changed."""
        return self._living

    @property
    def ended(self) -> dict[str, float]:
        """Return when each tombstone's member ended; not to be changed."""
        return self._ended_at

    def get(self, node_id: str) -> Member | None:
        """Return a member's record.

        Args:
            node_id: Node id of the member.

        Returns:
            The record; None when the member is not known.
        """
        return self._members.get(node_id)

    def merge(self, member: Member, now: float, age_s: float = 0.0) -> bool:
        """Take a record if it is newer than the known one.

        Args:
            member: Record to merge.
            now: Monotonic time in seconds.
            age_s: For a DEAD or LEFT member, how long ago it ended.

        Returns:
            Whether the record was newer. A higher catalogue revision alone
            is taken, but does not count.
        """
        old = self._members.get(member.node_id)
        if old is None:
            self._store(member, now - age_s)
            return True
        if _precedence(member) > _precedence(old):
            self._replace(old, member, now - age_s)
            return True
        self.note_revision(
            member.node_id, member.incarnation, member.catalogue_revision
        )
        return False

    def merge_claim(self, claim: StateClaim, now: float) -> bool:
        """Take a claimed state if the member is known at that version.

        Args:
            claim: Claim to merge.
            now: Monotonic time in seconds.

        Returns:
            Whether the state changed.
        """
        old = self._members.get(claim.node_id)
        if old is None or claim.state <= old.state:
            return False
        if (claim.incarnation, claim.version) != (old.incarnation, old.version):
            return False
        self._replace(old, dataclasses.replace(old, state=claim.state), now)
        return True

    def note_revision(
        self, node_id: str, incarnation: int, revision: int
    ) -> None:
        """Record a higher catalogue revision of a member.

        Args:
            node_id: Node id of the member.
            incarnation: Incarnation that runs the revision.
            revision: Revision of the catalogue in force there.
        """
        old = self._members.get(node_id)
        if old is None or incarnation != old.incarnation:
            return
        if revision > old.catalogue_revision:
            self._members[node_id] = dataclasses.replace(
                old, catalogue_revision=revision
            )
            self.revision_sequence += 1

    def expire(self, now: float) -> None:
        """Forget tombstones older than ``TOMBSTONE_S``.

        Args:
            now: Monotonic time in seconds.
        """
        limit = now - TOMBSTONE_S
        old = [n for n, ended_at in self._ended_at.items() if ended_at <= limit]
        for node_id in old:
            del self._ended_at[node_id]
            del self._members[node_id]
            del self._buckets[_bucket_of(node_id)][node_id]
            self.sequence += 1

    def sample(
        self, rng: random.Random, count: int, exclude: frozenset[str]
    ) -> list[Member]:
        """Return distinct random living members.

        Args:
            rng: Source of randomness.
            count: Number wanted.
            exclude: Node ids to leave out.

        Returns:
            At most ``count`` members.
        """
        wanted = min(len(self._living), count + len(exclude))
        chosen = rng.sample(self._living, wanted)
        ids = [node_id for node_id in chosen if node_id not in exclude]
        return [self._members[node_id] for node_id in ids[:count]]

    def bucket_digest(self, bucket: int) -> int:
        """Return the digest of the living members of a bucket, 32 bits.

        Args:
            bucket: Number of the bucket.

        Returns:
            The digest; zero when there are none.
        """
        return self._bucket_digests[bucket] & 0xFFFFFFFF

    def bucket_members(self, bucket: int) -> list[Member]:
        """Return all records of a bucket, tombstones included.

        Args:
            bucket: Number of the bucket.

        Returns:
            The records, in no particular order.
        """
        return [self._members[node_id] for node_id in self._buckets[bucket]]

    def _replace(self, old: Member, new: Member, ended_at: float) -> None:
        revision = new.catalogue_revision
        if new.incarnation == old.incarnation:
            revision = max(revision, old.catalogue_revision)
        if revision != new.catalogue_revision:
            new = dataclasses.replace(new, catalogue_revision=revision)
        if is_living(old):
            self._digest(old)
        if is_living(old) and not is_living(new):
            self._remove_living(old.node_id)
        self._store(new, ended_at)

    def _store(self, member: Member, ended_at: float) -> None:
        node_id = member.node_id
        self._members[node_id] = member
        self._buckets[_bucket_of(node_id)][node_id] = None
        self.sequence += 1
        if not is_living(member):
            self._ended_at[node_id] = ended_at
            return
        self._ended_at.pop(node_id, None)
        self._digest(member)
        if node_id not in self._positions:
            self._positions[node_id] = len(self._living)
            self._living.append(node_id)

    def _digest(self, member: Member) -> None:
        """Add a living member to the digests, or take it out again."""
        value = _hash_record(member)
        self.digest ^= value
        self._bucket_digests[_bucket_of(member.node_id)] ^= value

    def _remove_living(self, node_id: str) -> None:
        position = self._positions.pop(node_id)
        last = self._living.pop()
        if last != node_id:
            self._living[position] = last
            self._positions[last] = position
