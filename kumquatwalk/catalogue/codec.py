"""JSON form of the catalogue document, its entries and its audit records.

Decoding is strict: an unknown, missing, wrongly typed or oversized field is
rejected with a `CatalogueError`, so that a corrupt value is never applied.
"""

from collections.abc import Mapping

from kumquatwalk.catalogue import bounds
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.entry_codec import decode_entry
from kumquatwalk.catalogue.entry_codec import encode_entry
from kumquatwalk.catalogue.entry_codec import make_entry_document
from kumquatwalk.catalogue.entry_codec import parse_entry
from kumquatwalk.catalogue.fields import Fields
from kumquatwalk.catalogue.json_text import dump_json
from kumquatwalk.catalogue.json_text import parse_json
from kumquatwalk.catalogue.record_codec import decode_record
from kumquatwalk.catalogue.record_codec import decode_records
from kumquatwalk.catalogue.record_codec import encode_record
from kumquatwalk.catalogue.record_codec import encode_records
from kumquatwalk.catalogue.record_codec import make_record_document
from kumquatwalk.catalogue.record_codec import parse_record
from kumquatwalk.exception import CatalogueError

__all__ = [
    "decode_catalogue",
    "decode_entry",
    "decode_record",
    "decode_records",
    "encode_catalogue",
    "encode_entry",
    "encode_record",
    "encode_records",
    "make_entry_document",
    "make_record_document",
]

FORMAT_VERSION = 1


def encode_catalogue(catalogue: Catalogue) -> bytes:
    """Encode a catalogue as JSON.

    Args:
        catalogue: Catalogue to encode; its entries are written sorted by name.

    Raises:
        CatalogueError: If the result is larger than
            ``bounds.MAX_DOCUMENT_BYTES``.
    """
    entries = sorted(catalogue.entries.values(), key=lambda e: e.name)
    document = {
        "format": FORMAT_VERSION,
        "revision": catalogue.revision,
        "entries": [make_entry_document(entry) for entry in entries],
        "records": [make_record_document(r) for r in catalogue.records],
    }
    return dump_json(document)


def decode_catalogue(data: bytes) -> Catalogue:
    """Decode a catalogue from JSON.

    Each field is checked on its own, and entry names must be unique. Use
    `kumquatwalk.catalogue.check.check_catalogue` to check how the entries
    relate to each other.

    Args:
        data: JSON text in UTF-8.

    Raises:
        CatalogueError: If the text is malformed or a value exceeds a bound.
    """
    fields = Fields("document", parse_json(data))
    version = fields.take_int("format", 1, bounds.MAX_REVISION)
    if version != FORMAT_VERSION:
        raise CatalogueError(
            "format_unknown", f"format {version} is not {FORMAT_VERSION}"
        )
    revision = fields.take_int("revision", 0, bounds.MAX_REVISION)
    rows = fields.take_list("entries", bounds.MAX_ENTRIES)
    records = fields.take_list("records", bounds.MAX_RECORDS)
    fields.finish()
    return Catalogue(
        revision=revision,
        entries=_index_by_name([parse_entry(row) for row in rows]),
        records=tuple(parse_record(row) for row in records),
    )


def _index_by_name(entries: list[Entry]) -> Mapping[str, Entry]:
    by_name = {entry.name: entry for entry in entries}
    if len(by_name) != len(entries):
        raise CatalogueError("entry_repeated", "two entries have the same name")
    return by_name
