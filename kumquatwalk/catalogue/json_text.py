"""Encoding and decoding of JSON text of bounded size."""

import json

from kumquatwalk.catalogue import bounds
from kumquatwalk.exception import CatalogueError

__all__ = [
    "dump_json",
    "parse_json",
]


def parse_json(data: bytes) -> object:
    """Parse JSON text and reject repeated fields and NaN or infinity.

    Args:
        data: JSON text in UTF-8, at most ``bounds.MAX_DOCUMENT_BYTES`` long.

    Raises:
        CatalogueError: If the text is too large, is not valid JSON, or repeats
            a field.
    """
    if len(data) > bounds.MAX_DOCUMENT_BYTES:
        raise CatalogueError(
            "document_too_large",
            f"document has {len(data)} bytes, more than"
            f" {bounds.MAX_DOCUMENT_BYTES}",
        )
    try:
        return json.loads(
            data.decode("utf-8"),
            object_pairs_hook=_build_object,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as error:
        raise CatalogueError("document_malformed", str(error)) from error


def dump_json(document: dict[str, object]) -> bytes:
    """Serialize an object as compact JSON in UTF-8.

    Args:
        document: Object to serialize.

    Raises:
        CatalogueError: If the text is too large or cannot be encoded.
    """
    text = json.dumps(document, ensure_ascii=False, separators=(",", ":"))
    try:
        data = text.encode("utf-8")
    except UnicodeEncodeError as error:
        raise CatalogueError("text_invalid", str(error)) from error
    if len(data) > bounds.MAX_DOCUMENT_BYTES:
        raise CatalogueError(
            "document_too_large",
            f"document has {len(data)} bytes, more than"
            f" {bounds.MAX_DOCUMENT_BYTES}",
        )
    return data


def _build_object(pairs: list[tuple[str, object]]) -> dict[str, object]:
    document = dict(pairs)
    if len(document) != len(pairs):
        raise ValueError("a field is repeated")
    return document


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a number")
