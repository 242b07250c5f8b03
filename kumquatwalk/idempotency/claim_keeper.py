"""Claims requests in the platform before their first run."""

import dataclasses
import time
from collections.abc import Callable
from typing import Protocol

from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.exception import PlatformError
from kumquatwalk.exception import PlatformUnavailableError
from kumquatwalk.idempotency.claim import Claim
from kumquatwalk.idempotency.claim import decode_claim
from kumquatwalk.idempotency.claim import encode_claim
from kumquatwalk.idempotency.claim_budget import ClaimBudget
from kumquatwalk.idempotency.claim_lease import ClaimLease
from kumquatwalk.idempotency.claim_lease import LeaseClient
from kumquatwalk.idempotency.claim_rate import ClaimRate

__all__ = [
    "ClaimClient",
    "ClaimKeeper",
    "ClaimResult",
    "ClaimUnavailable",
    "Claimed",
    "NodeIdentity",
    "OwnedBy",
]

CLAIM_START_BOUND_S = 5.0
_UNANSWERED_CODES = frozenset(("platform_unavailable", "claim_unknown"))


class StoredValue(Protocol):
    """A key's value as the platform's client returns it."""

    value: bytes


class ClaimClient(LeaseClient, Protocol):
    """What the keeper needs of the platform's client."""

    def get(self, key: str) -> StoredValue | None:
        """Return a key's value; None when it does not exist."""

    def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> object:
        """Write a key's value by compare-and-swap."""


@dataclasses.dataclass(frozen=True, slots=True)
class NodeIdentity:
    """What a claim says of its owner.

    Attributes:
        node_id: This node.
        incarnation: This incarnation of the node.
        host: IP number of this VM.
        link_port: Port of this node for links.
    """

    node_id: str
    incarnation: int
    host: str
    link_port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """This incarnation owns the request and may run it now."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedBy:
    """The claim names an owner; when it is this node, its record is gone."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """No claim that may be used: the request was not run.

    Attributes:
        code: ``claim_budget``, ``platform_unavailable``, ``claim_unknown``,
            ``claim_late`` or ``key_reused``.
    """

    code: str


ClaimResult = Claimed | OwnedBy | ClaimUnavailable


class ClaimKeeper:
    """Claims keys by compare-and-swap; safe to use from several threads.

    Args:
        client: Client of the platform.
        identity: This node.
        budget: Budget of writes.
        clock: Returns the present time, in seconds.
    """

    def __init__(
        self,
        client: ClaimClient,
        identity: NodeIdentity,
        budget: ClaimBudget,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._client = client
        self._identity = identity
        self._budget = budget
        self._clock = clock
        self._lease = ClaimLease(client, clock)
        self._rate = ClaimRate()

    def claim(
        self,
        key: str,
        fingerprint: bytes,
        claim_id: str,
        importance: Importance,
        deadline: float,
    ) -> ClaimResult:
        """Claim a request whose record in this node says ``RunNow``.

        Args:
            key: Key of the claim.
            fingerprint: Digest of the entry and the body.
            claim_id: Identifier that came with ``RunNow``.
            importance: Class of the request.
            deadline: Time at which the request's time is up, in seconds.

        Returns:
            ``Claimed`` only when it may be run now.
        """
        started_at = self._clock()
        if not self._budget.take(importance, started_at):
            return ClaimUnavailable("claim_budget")
        lease_id = self._lease.get_id()
        if lease_id is None:
            return ClaimUnavailable("platform_unavailable")
        claim = self._make_claim(fingerprint, claim_id)
        result = self._write(key, claim, lease_id)
        ended_at = self._clock()
        self._adjust_rate(result, ended_at - started_at, ended_at)
        is_late = is_claim_late(started_at, deadline, ended_at)
        if isinstance(result, Claimed) and is_late:
            return ClaimUnavailable("claim_late")
        return result

    def _adjust_rate(
        self, result: ClaimResult, elapsed_s: float, now: float
    ) -> None:
        code = result.code if isinstance(result, ClaimUnavailable) else ""
        is_answered = code not in _UNANSWERED_CODES
        per_s = self._rate.note_answer(elapsed_s, is_answered, now)
        self._budget.set_rate(per_s, now)

    def _make_claim(self, fingerprint: bytes, claim_id: str) -> Claim:
        identity = self._identity
        return Claim(
            node_id=identity.node_id,
            incarnation=identity.incarnation,
            host=identity.host,
            link_port=identity.link_port,
            claim_id=claim_id,
            fingerprint=fingerprint.hex(),
        )

    def _write(self, key: str, claim: Claim, lease_id: str) -> ClaimResult:
        try:
            self._client.put(key, encode_claim(claim), 0, lease_id)
            return Claimed()
        except PlatformUnavailableError:
            return ClaimUnavailable("platform_unavailable")
        except PlatformError:
            return self._read_back(key, claim)

    def _read_back(self, key: str, claim: Claim) -> ClaimResult:
        try:
            stored = self._client.get(key)
            found = None if stored is None else decode_claim(stored.value)
        except PlatformError:
            return ClaimUnavailable("claim_unknown")
        return judge_claim(claim, found)


def judge_claim(written: Claim, found: Claim | None) -> ClaimResult:
    """Decide from the claim read back after a write that did not succeed.

    Args:
        written: Claim whose write was refused or lost its answer.
        found: Claim in the platform; None when there is none.

    Returns:
        ``Claimed`` when the claim found belongs to the same record. A claim by
        an earlier record of the same node is not enough: that record may have
        been forgotten after it ran.
    """
    if found is None:
        return ClaimUnavailable("claim_unknown")
    if found.fingerprint != written.fingerprint:
        return ClaimUnavailable("key_reused")
    if found == written:
        return Claimed()
    return OwnedBy(found)


def is_claim_late(started_at: float, deadline: float, now: float) -> bool:
    """Return whether a claim came too late to start its run.

    A process that was paused while it claimed may hold a claim that has lapsed
    or a request whose caller has given up.

    Args:
        started_at: Time before the claim was sent, in seconds.
        deadline: Time at which the request's time is up, in seconds.
        now: Present time, in seconds.
    """
    return now - started_at > CLAIM_START_BOUND_S or now >= deadline
