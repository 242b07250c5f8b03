"""Claims idempotency keys in the platform's store before a first run."""

import dataclasses
import time
from collections.abc import Callable

from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.clock import read_now
from kumquatwalk.exception import PlatformError
from kumquatwalk.exception import PlatformUnavailableError
from kumquatwalk.idempotency.claim import Claim
from kumquatwalk.idempotency.claim import decode_claim
from kumquatwalk.idempotency.claim import encode_claim
from kumquatwalk.idempotency.claim_budget import ClaimBudget
from kumquatwalk.idempotency.claim_rate import ClaimRate
from kumquatwalk.idempotency.held_claims import HeldClaims
from kumquatwalk.platform.store import StoreClient
from kumquatwalk.platform.store_items import Put
from kumquatwalk.platform.store_position import ABSENT
from kumquatwalk.roster.registration import RENEWAL_INTERVAL_S

__all__ = [
    "ClaimStore",
    "ClaimResult",
    "ClaimUnavailable",
    "Claimed",
    "NodeIdentity",
    "OwnedBy",
]

# Time after a restore in which no new claim is trusted, in seconds.
# Each node calls the store within the interval of its lease renewals, so by
# then all have seen the restore and have written their claims again.
RESTORE_GRACE_S = RENEWAL_INTERVAL_S + 2.0
# A claim that took longer than this does not start its run. The limit exceeds
# the slowest answer that the store gives within its own timeout.
CLAIM_TIMEOUT_S = 5.0
_UNANSWERED_CODES = frozenset(("platform_unavailable", "claim_unknown"))


@dataclasses.dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Identity of a node as recorded in its claims.

    Attributes:
        node_id: Name of the node.
        incarnation: Incarnation of the node; each start of its process has
            another one.
    """

    node_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """This incarnation holds the claim and may run the request now."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedBy:
    """The key was claimed for another record of the request.

    If the claim names this node, that record is no longer in its table.

    Attributes:
        claim: Claim found in the store.
    """

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """No usable claim was obtained; the request was not run.

    Attributes:
        code: Reason: ``claim_budget``, ``platform_unavailable``,
            ``claim_unknown``, ``claim_late`` or ``key_reused``.
    """

    code: str


ClaimResult = Claimed | OwnedBy | ClaimUnavailable


def _read_unix_ms() -> int:
    return int(time.time() * 1000)


class ClaimStore:
    """Creates claims in the platform's store by compare-and-swap.

    A claim has no lease. It must outlive the node that made it, so that a
    repeat at another node learns that the outcome is unknown. ``ClaimSweeper``
    removes expired claims.

    After the store was restored from a copy, claims of other nodes may be
    missing, and none is obtained for ``RESTORE_GRACE_S``.

    Args:
        client: Client of the platform's store.
        identity: Identity of this node.
        budget: Token bucket that limits the writes of claims.
        clock: Returns the current time in seconds.
        read_unix_ms: Returns the current Unix time in milliseconds.

    Attributes:
        held: Claims obtained lately.
    """

    def __init__(
        self,
        client: StoreClient,
        identity: NodeIdentity,
        budget: ClaimBudget,
        clock: Callable[[], float] = read_now,
        read_unix_ms: Callable[[], int] = _read_unix_ms,
    ):
        self._client = client
        self._identity = identity
        self._budget = budget
        self._clock = clock
        self._read_unix_ms = read_unix_ms
        self._rate = ClaimRate()
        self._refused_until = float("-inf")
        self.held = HeldClaims()

    def handle_restore(self) -> None:
        """Refuse claims for a time, as the store was restored from a copy."""
        self._refused_until = self._clock() + RESTORE_GRACE_S

    async def claim(
        self,
        key: str,
        fingerprint: bytes,
        claim_id: str,
        importance: Importance,
        deadline: float,
    ) -> ClaimResult:
        """Claim the key of a request for which the table returned ``RunNow``.

        One token of the budget is spent, and its rate is adjusted to how fast
        the store answers.

        Args:
            key: Store key of the claim.
            fingerprint: Digest of the request.
            claim_id: Identifier from ``RunNow``.
            importance: Priority class of the request; less important classes
                cannot spend the last tokens of the budget.
            deadline: Deadline of the request, in seconds of ``clock``.

        Returns:
            ``Claimed`` if the request may be run now, ``OwnedBy`` if the key
            was claimed for another record, otherwise ``ClaimUnavailable``.
        """
        started_at = self._clock()
        if started_at < self._refused_until:
            return ClaimUnavailable("platform_unavailable")
        if not self._budget.take(importance, started_at):
            return ClaimUnavailable("claim_budget")
        claim = self._make_claim(fingerprint, claim_id)
        result = await self._write(key, claim)
        ended_at = self._clock()
        self._adjust_rate(result, ended_at - started_at, ended_at)
        if not isinstance(result, Claimed):
            return result
        if ended_at < self._refused_until:
            # This claim's own answer showed that the store was restored.
            return ClaimUnavailable("platform_unavailable")
        self.held.add(key, claim, ended_at)
        if is_claim_late(started_at, deadline, ended_at):
            return ClaimUnavailable("claim_late")
        return result

    def _adjust_rate(
        self, result: ClaimResult, elapsed_s: float, now: float
    ) -> None:
        code = result.code if isinstance(result, ClaimUnavailable) else ""
        is_answered = code not in _UNANSWERED_CODES
        rate_per_s = self._rate.update(elapsed_s, is_answered, now)
        self._budget.set_rate(rate_per_s, now)

    def _make_claim(self, fingerprint: bytes, claim_id: str) -> Claim:
        identity = self._identity
        return Claim(
            node_id=identity.node_id,
            incarnation=identity.incarnation,
            claim_id=claim_id,
            fingerprint=fingerprint.hex(),
            claimed_at_ms=self._read_unix_ms(),
        )

    async def _write(self, key: str, claim: Claim) -> ClaimResult:
        try:
            await self._client.commit(
                [Put(key, encode_claim(claim))], expected={key: ABSENT}
            )
            return Claimed()
        except PlatformUnavailableError:
            return ClaimUnavailable("platform_unavailable")
        except PlatformError:
            # The key is already claimed, or the answer was lost.
            return await self._read_back(key, claim)

    async def _read_back(self, key: str, claim: Claim) -> ClaimResult:
        try:
            stored = await self._client.get(key)
            found = None if stored is None else decode_claim(stored.value)
        except PlatformError:
            return ClaimUnavailable("claim_unknown")
        return resolve_claim(claim, found)


def resolve_claim(written: Claim, found: Claim | None) -> ClaimResult:
    """Return the result of a failed write, given the claim read back.

    Args:
        written: Claim whose write was rejected or whose answer was lost.
        found: Claim in the store; None if the key does not exist.

    Returns:
        ``Claimed`` if the claim found was made for the same record. A claim
        for an earlier record of the same node is not sufficient, because that
        record may have been evicted after its request ran.
    """
    if found is None:
        return ClaimUnavailable("claim_unknown")
    if found.fingerprint != written.fingerprint:
        return ClaimUnavailable("key_reused")
    if _get_record_id(found) == _get_record_id(written):
        return Claimed()
    return OwnedBy(found)


def is_claim_late(started_at: float, deadline: float, now: float) -> bool:
    """Return whether a claim was answered too late to start its run.

    A process that was paused while it claimed may hold a claim that has
    expired or a request whose caller has given up.

    Args:
        started_at: Time just before the claim was sent, in seconds.
        deadline: Deadline of the request, in seconds.
        now: Current time in seconds.
    """
    return now - started_at > CLAIM_TIMEOUT_S or now >= deadline


def _get_record_id(claim: Claim) -> tuple[str, int, str]:
    return claim.node_id, claim.incarnation, claim.claim_id
