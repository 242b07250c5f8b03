"""Answer of a stand-in target, made so that a caller can check it."""

import dataclasses
import hashlib
import json

__all__ = ["TargetAnswer", "digest_body", "encode_answer", "make_padding"]

PADDING_UNIT_BYTES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """What a run answers.

    Attributes:
        service: Service of the target.
        entry: Entry that was run.
        port: Port of the target.
        run: Number of the run within the target.
        echo: Digest of the body of the request.
        outcome: How the run ended.
        calls: Answers of the calls that the run made, as decoded JSON.
        padding: Text derived from the body, of the size asked for.
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
    """Return the digest by which an answer names the body it belongs to."""
    return hashlib.sha256(body).hexdigest()


def make_padding(echo: str, size: int) -> str:
    """Return text of a size that only this request's answer can hold.

    Args:
        echo: Digest of the body.
        size: Number of characters.

    Returns:
        The digest, repeated and cut.
    """
    repeats = size // PADDING_UNIT_BYTES + 1
    return (echo * repeats)[:size]


def encode_answer(answer: TargetAnswer) -> bytes:
    """Return the answer as JSON."""
    return json.dumps(dataclasses.asdict(answer)).encode()
