"""Verifiable answer of a simulated target."""

import dataclasses
import hashlib
import json

__all__ = ["TargetAnswer", "digest_body", "encode_answer", "make_padding"]

DIGEST_CHARS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """Answer of one run, sent as JSON.

    Attributes:
        service: Service of the target.
        entry: Entry that was run.
        port: Port of the target.
        run: Sequence number of the run at the target.
        echo: SHA-256 digest of the request body, in hexadecimal.
        outcome: Outcome of the run.
        calls: Nested calls of the run with their answers.
        padding: Text derived from the digest, of the requested size.
    """

    service: str
    entry: str
    port: int
    run: int
    echo: str
    outcome: str
    calls: tuple[object, ...] = ()
    padding: str = ""


def digest_body(body: bytes) -> str:
    """Return the SHA-256 digest that ties an answer to its request body."""
    return hashlib.sha256(body).hexdigest()


def make_padding(echo: str, size: int) -> str:
    """Return padding that identifies the request it belongs to.

    Args:
        echo: Digest of the request body.
        size: Number of characters.

    Returns:
        The digest, repeated and truncated to the size.
    """
    repeats = size // DIGEST_CHARS + 1
    return (echo * repeats)[:size]


def encode_answer(answer: TargetAnswer) -> bytes:
    """Encode an answer as JSON."""
    return json.dumps(dataclasses.asdict(answer)).encode()
