"""Human-readable text of entries and audit records."""

import datetime

from kumquatwalk.catalogue.audit import AuditRecord
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.entry_codec import make_entry_document

__all__ = [
    "format_difference",
    "format_entry",
    "format_record",
]


def format_entry(entry: Entry) -> str:
    """Return the text of an entry, one field per line."""
    fields = _list_fields(entry)
    return "\n".join(f"{name}: {value}" for name, value in fields.items())


def format_difference(record: AuditRecord) -> str:
    """Return the difference that a change makes, field by field.

    Removed values are marked with ``-``, added ones with ``+``.
    """
    before = _list_fields(record.before)
    after = _list_fields(record.after)
    lines = [f"{_name_action(record)} {record.entry_name}"]
    for name in {**before, **after}:
        if before.get(name) == after.get(name):
            continue
        if name in before:
            lines.append(f"- {name}: {before[name]}")
        if name in after:
            lines.append(f"+ {name}: {after[name]}")
    return "\n".join(lines)


def format_record(record: AuditRecord) -> str:
    """Return the text of an audit record.

    It has the revision, the time in UTC, the author, the reason and the
    difference.
    """
    seconds = record.at_unix_ms / 1000
    at = datetime.datetime.fromtimestamp(seconds, datetime.timezone.utc)
    head = (
        f"revision {record.revision}  {at:%Y-%m-%d %H:%M:%S}Z "
        f" {record.author}  {record.reason}"
    )
    return f"{head}\n{format_difference(record)}"


def _name_action(record: AuditRecord) -> str:
    if record.before is None:
        return "add"
    return "remove" if record.after is None else "change"


def _list_fields(entry: Entry | None) -> dict[str, str]:
    if entry is None:
        return {}
    document = make_entry_document(entry)
    limits = document.pop("limits")
    document["calls"] = " ".join(entry.calls) or "none"
    document["idempotent"] = "yes" if entry.idempotent else "no"
    return {name: str(value) for name, value in {**document, **limits}.items()}
