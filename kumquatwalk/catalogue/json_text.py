"""JSON text of bounded size."""

import json

from kumquatwalk.catalogue import bounds
from kumquatwalk.exception import CatalogueError

__all__ = [
    "dump_json",
    "parse_json",
]


def parse_json(data: bytes) -> object:
    """Return the value in JSON text of bounded size.

    Args:
        data: UTF-8 text.

    Raises:
        CatalogueError: If the text is too large, not JSON, or names a field
            twice.
    """
    if len(data) > bounds.MAX_DOCUMENT_BYTES:
        raise CatalogueError(
            "document_too_large",
            f"{len(data)} bytes, at most {bounds.MAX_DOCUMENT_BYTES}",
        )
    try:
        return json.loads(
            data.decode("utf-8"),
            object_pairs_hook=_make_object,
            parse_constant=_refuse_constant,
        )
    except (ValueError, RecursionError) as error:
        raise CatalogueError("document_malformed", str(error)) from error


def dump_json(document: dict[str, object]) -> bytes:
    """Return a JSON object as compact text.

    Args:
        document: Object to write.

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
            f"{len(data)} bytes, at most {bounds.MAX_DOCUMENT_BYTES}",
        )
    return data


def _make_object(pairs: list[tuple[str, object]]) -> dict[str, object]:
    document = dict(pairs)
    if len(document) != len(pairs):
        raise ValueError("a field is named twice")
    return document


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a number")
