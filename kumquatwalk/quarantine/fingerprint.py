"""Fingerprint that identifies a request by its content."""

import hashlib

__all__ = ["FINGERPRINT_BYTES", "abbreviate", "make_fingerprint"]

FINGERPRINT_BYTES = 16
_ABBREVIATED_DIGITS = 8


def make_fingerprint(entry: str, method: str, url: bytes, body: bytes) -> bytes:
    """Return a digest of a request, equal for all its repeats.

    Args:
        entry: Name of the entry called.
        method: HTTP method.
        url: Path with the query string.
        body: Body of the request.

    Returns:
        Digest of ``FINGERPRINT_BYTES`` bytes.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (entry.encode(), method.encode(), url, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def abbreviate(fingerprint: bytes) -> str:
    """Return the first hexadecimal digits of a fingerprint, for log lines."""
    return fingerprint.hex()[:_ABBREVIATED_DIGITS]
