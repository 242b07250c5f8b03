"""JSON form of audit records."""

from kumquatwalk.catalogue import bounds
from kumquatwalk.catalogue.audit import AuditRecord
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.entry_codec import make_entry_document
from kumquatwalk.catalogue.entry_codec import parse_entry
from kumquatwalk.catalogue.fields import Fields
from kumquatwalk.catalogue.json_text import dump_json
from kumquatwalk.catalogue.json_text import parse_json

__all__ = [
    "decode_record",
    "decode_records",
    "encode_record",
    "encode_records",
    "make_record_document",
    "parse_record",
]

FORMAT_VERSION = 1


def encode_record(record: AuditRecord) -> bytes:
    """Encode an audit record as JSON."""
    return dump_json(make_record_document(record))


def decode_record(data: bytes) -> AuditRecord:
    """Decode an audit record from JSON.

    Args:
        data: JSON text in UTF-8.

    Raises:
        CatalogueError: If the text is malformed or a value exceeds a bound.
    """
    return parse_record(parse_json(data))


def encode_records(records: tuple[AuditRecord, ...]) -> bytes:
    """Encode audit records as JSON, in the given order."""
    rows = [make_record_document(record) for record in records]
    return dump_json({"format": FORMAT_VERSION, "records": rows})


def decode_records(data: bytes) -> tuple[AuditRecord, ...]:
    """Decode audit records from JSON.

    Args:
        data: JSON text in UTF-8.

    Raises:
        CatalogueError: If the text is malformed or a value exceeds a bound.
    """
    fields = Fields("records", parse_json(data))
    fields.take_int("format", FORMAT_VERSION, FORMAT_VERSION)
    rows = fields.take_list("records", bounds.MAX_RECORDS)
    fields.finish()
    return tuple(parse_record(row) for row in rows)


def make_record_document(record: AuditRecord) -> dict[str, object]:
    """Return the JSON object that describes an audit record."""
    return {
        "revision": record.revision,
        "change_id": record.change_id,
        "author": record.author,
        "reason": record.reason,
        "at_unix_ms": record.at_unix_ms,
        "entry_name": record.entry_name,
        "before": _make_optional(record.before),
        "after": _make_optional(record.after),
    }


def parse_record(document: object) -> AuditRecord:
    """Return the audit record described by a JSON object.

    Args:
        document: Decoded JSON value.

    Raises:
        CatalogueError: If the value is malformed or exceeds a bound.
    """
    fields = Fields("record", document)
    record = AuditRecord(
        revision=fields.take_int("revision", 1, bounds.MAX_REVISION),
        change_id=fields.take_match("change_id", bounds.CHANGE_ID_PATTERN),
        author=fields.take_match("author", bounds.AUTHOR_PATTERN),
        reason=fields.take_text("reason", bounds.MAX_REASON_CHARACTERS),
        at_unix_ms=fields.take_int("at_unix_ms", 0, bounds.MAX_REVISION),
        entry_name=fields.take_name("entry_name"),
        before=_parse_optional(fields.take("before")),
        after=_parse_optional(fields.take("after")),
    )
    fields.finish()
    return record


def _make_optional(entry: Entry | None) -> dict[str, object] | None:
    return None if entry is None else make_entry_document(entry)


def _parse_optional(document: object) -> Entry | None:
    return None if document is None else parse_entry(document)
