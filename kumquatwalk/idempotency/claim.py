"""Record in the store of the node that owns a caller's idempotency key."""

import dataclasses
import hashlib
import json

from kumquatwalk.exception import PlatformError

__all__ = ["Claim", "decode_claim", "encode_claim", "make_claim_key"]

CLAIM_PREFIX = "claims/"
MAX_CLAIM_BYTES = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Claim of one node on a request, stored as JSON under the claim's key.

    Only the node and incarnation that the claim names may run the request.

    Attributes:
        node_id: Node that owns the request.
        incarnation: Incarnation of that node.
        claim_id: Random identifier of the owner's record of the request.
        fingerprint: Digest of the request in hexadecimal; a repeat with
            another digest reuses the key for another request.
        claimed_at_ms: Time of the claim in Unix milliseconds, from which its
            retention period counts.
    """

    node_id: str
    incarnation: int
    claim_id: str
    fingerprint: str
    claimed_at_ms: int


def make_claim_key(entry: str, key: str) -> str:
    """Return the store key of a claim.

    Args:
        entry: Name of the entry called.
        key: Idempotency key that the caller sent.

    Example:
        >>> make_claim_key("pay", "7")[:14]
        'claims/f6bc78d'
    """
    digest = hashlib.sha256(f"{entry}\0{key}".encode()).hexdigest()
    return CLAIM_PREFIX + digest


def encode_claim(claim: Claim) -> bytes:
    """Return the claim as JSON."""
    return json.dumps(dataclasses.asdict(claim)).encode()


def decode_claim(value: bytes) -> Claim:
    """Decode a claim.

    Args:
        value: Value returned by ``encode_claim``.

    Returns:
        The claim.

    Raises:
        PlatformError: The value is not a valid claim (code
            ``claim_malformed``).
    """
    try:
        if len(value) > MAX_CLAIM_BYTES:
            raise ValueError("claim is too long")
        fields = json.loads(value)
        claim = Claim(**fields)
        for field in dataclasses.fields(Claim):
            if not isinstance(getattr(claim, field.name), field.type):
                raise ValueError(f"{field.name} has the wrong type")
        return claim
    except (ValueError, TypeError) as error:
        raise PlatformError("claim_malformed", str(error)) from error
