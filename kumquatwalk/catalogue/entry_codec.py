"""JSON form of an entry."""

from kumquatwalk.catalogue import bounds
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.fields import Fields
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.json_text import dump_json
from kumquatwalk.catalogue.json_text import parse_json
from kumquatwalk.catalogue.limits import Limits
from kumquatwalk.exception import CatalogueError

__all__ = [
    "decode_entry",
    "encode_entry",
    "make_entry_document",
    "parse_entry",
]

_IMPORTANCE_NAMES = {level.name.lower(): level for level in Importance}


def encode_entry(entry: Entry) -> bytes:
    """Encode an entry as JSON."""
    return dump_json(make_entry_document(entry))


def decode_entry(data: bytes) -> Entry:
    """Decode an entry from JSON.

    Args:
        data: JSON text in UTF-8.

    Raises:
        CatalogueError: If the text is malformed or a value exceeds a bound.
    """
    return parse_entry(parse_json(data))


def make_entry_document(entry: Entry) -> dict[str, object]:
    """Return the JSON object that describes an entry."""
    return {
        "name": entry.name,
        "owner": entry.owner,
        "service": entry.service,
        "importance": entry.importance.name.lower(),
        "idempotent": entry.idempotent,
        "limits": {
            "in_flight": entry.limits.in_flight,
            "rate_per_s": float(entry.limits.rate_per_s),
            "retries": entry.limits.retries,
            "time_ms": entry.limits.time_ms,
        },
        "calls": list(entry.calls),
    }


def parse_entry(document: object) -> Entry:
    """Return the entry described by a JSON object.

    Args:
        document: Decoded JSON value.

    Raises:
        CatalogueError: If the value is malformed or exceeds a bound.
    """
    fields = Fields("entry", document)
    entry = Entry(
        name=fields.take_name("name"),
        owner=fields.take_name("owner"),
        service=fields.take_name("service"),
        importance=_parse_importance(fields.take_text("importance", 64)),
        idempotent=fields.take_bool("idempotent"),
        limits=_parse_limits(fields.take("limits")),
        calls=_parse_calls(fields.take_list("calls", bounds.MAX_CALLS)),
    )
    fields.finish()
    return entry


def _parse_importance(name: str) -> Importance:
    if name not in _IMPORTANCE_NAMES:
        known = ", ".join(_IMPORTANCE_NAMES)
        raise CatalogueError(
            "importance_unknown", f"{name!r} is not one of {known}"
        )
    return _IMPORTANCE_NAMES[name]


def _parse_limits(document: object) -> Limits:
    fields = Fields("limits", document)
    limits = Limits(
        in_flight=fields.take_int(
            "in_flight", bounds.MIN_IN_FLIGHT, bounds.MAX_IN_FLIGHT
        ),
        rate_per_s=fields.take_float(
            "rate_per_s", bounds.MIN_RATE_PER_S, bounds.MAX_RATE_PER_S
        ),
        retries=fields.take_int("retries", 0, bounds.MAX_RETRIES),
        time_ms=fields.take_int(
            "time_ms", bounds.MIN_TIME_MS, bounds.MAX_TIME_MS
        ),
    )
    fields.finish()
    return limits


def _parse_calls(rows: list) -> tuple[str, ...]:
    for row in rows:
        if not isinstance(row, str) or not bounds.NAME_PATTERN.fullmatch(row):
            raise CatalogueError(
                "name_invalid", f"calls: {row!r:.80} is not a valid name"
            )
    return tuple(rows)
