"""Archive of audit records that the catalogue document no longer keeps.

Records are moved in segments of ``SEGMENT_RECORDS`` revisions, so the key of a
segment can be computed from any revision in it. A segment is written before its
records are trimmed from the document, and is immutable once written.
"""

from kumquatwalk.catalogue.audit import AuditRecord
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.record_codec import decode_records
from kumquatwalk.catalogue.record_codec import encode_records
from kumquatwalk.exception import CatalogueError
from kumquatwalk.exception import CompareFailedError
from kumquatwalk.exception import OutcomeUnknownError
from kumquatwalk.platform.store_position import ABSENT

__all__ = ["find_segment_start", "list_segments", "make_key", "read", "write"]

SEGMENT_RECORDS = 32
KEPT_RECORDS = 32


def find_segment_start(revision: int) -> int:
    """Return the first revision of the segment that contains a revision.

    Example:
        >>> find_segment_start(33)
        33
        >>> find_segment_start(32)
        1
    """
    return (revision - 1) // SEGMENT_RECORDS * SEGMENT_RECORDS + 1


def make_key(start: int) -> str:
    """Return the store key of the segment that starts at a revision."""
    return f"audit/{start}"


def list_segments(
    catalogue: Catalogue,
) -> tuple[tuple[AuditRecord, ...], ...]:
    """Return the complete segments that can be moved to the archive.

    Args:
        catalogue: Catalogue as read from the store, so that every record in it
            is of an accepted change.

    Returns:
        Segments, oldest first. At least ``KEPT_RECORDS`` records remain in the
            document.
    """
    records = catalogue.records
    if not records:
        return ()
    first = records[0].revision
    oldest_kept = catalogue.revision - KEPT_RECORDS + 1
    segments = []
    start = find_segment_start(first)
    while start + SEGMENT_RECORDS <= oldest_kept:
        end = start + SEGMENT_RECORDS - first
        segments.append(records[max(start - first, 0) : end])
        start += SEGMENT_RECORDS
    return tuple(segments)


def read(client, start: int) -> tuple[AuditRecord, ...]:
    """Return the records of a segment, or an empty tuple if it is not stored.

    Args:
        client: Client of the platform's key-value store.
        start: First revision of the segment.

    Raises:
        CatalogueError: If the stored value is corrupt.
        PlatformError: If the segment cannot be read.
    """
    stored = client.get(make_key(start))
    if stored is None:
        return ()
    return decode_records(stored.value)


def write(client, records: tuple[AuditRecord, ...]) -> None:
    """Write a segment; idempotent if the same records are already stored.

    Args:
        client: Client of the platform's key-value store.
        records: Accepted records, all of one segment.

    Raises:
        CatalogueError: If different records are stored under the key.
        PlatformError: If the write fails or its outcome is unknown.
    """
    key = make_key(find_segment_start(records[0].revision))
    value = encode_records(records)
    try:
        client.put(key, value, expected=ABSENT)
        return
    except (CompareFailedError, OutcomeUnknownError) as error:
        stored = client.get(key)
        if stored is None:
            raise error
    if stored.value != value:
        raise CatalogueError(
            "archive_mismatch", f"{key} already holds different records"
        )
