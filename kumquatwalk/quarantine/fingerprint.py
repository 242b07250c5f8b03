"""Fingerprint of a request."""

import hashlib

__all__ = ["FINGERPRINT_BYTES", "make_fingerprint"]

FINGERPRINT_BYTES = 16


def make_fingerprint(entry: str, method: str, url: bytes, body: bytes) -> bytes:
    """Return a digest that is the same for each repeat of a request.

    Args:
        entry: Entry called.
        method: HTTP method.
        url: Path with its query.
        body: Body.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (entry.encode(), method.encode(), url, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
