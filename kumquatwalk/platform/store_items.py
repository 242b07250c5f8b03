"""Items, writes and changes of the platform's store, with their decoders."""

import base64
import binascii
import dataclasses
from collections.abc import Mapping
from typing import Any

from kumquatwalk.exception import PlatformFormatError
from kumquatwalk.platform import fields

__all__ = [
    "Deletion",
    "Put",
    "Snapshot",
    "StoreItem",
    "WatchResult",
    "decode_event",
    "decode_item",
]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreItem:
    """A key with its value.

    Attributes:
        key: Name of the key.
        value: Bytes stored.
        revision: Store revision of the last write to the key.
    """

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deletion:
    """A key that has been deleted.

    Attributes:
        key: Name of the key.
        revision: Store revision of the deletion.
    """

    key: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All items below a prefix.

    Attributes:
        items: The items, in the order in which the store lists them.
        revision: Revision from which to watch for later changes.
    """

    items: tuple[StoreItem, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class WatchResult:
    """Changes that a watch reported.

    Attributes:
        events: Writes and deletions, in the order of their revisions.
        revision: Revision from which to continue the watch.
    """

    events: tuple[StoreItem | Deletion, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A write in a transaction.

    Attributes:
        key: Name of the key.
        value: Bytes to store.
        lease_id: Lease at whose end the key is deleted; 0 for none.
    """

    key: str
    value: bytes
    lease_id: int = 0


def decode_item(table: Mapping[str, Any]) -> StoreItem:
    """Decode an item; a value that is missing or not text reads as empty.

    Args:
        table: JSON object that the store sent, with the value in base64.

    Raises:
        PlatformFormatError: The value is not base64, or another field is
            missing or malformed.
    """
    text = table.get("value")
    try:
        value = base64.b64decode(
            text if isinstance(text, str) else "", validate=True
        )
    except (binascii.Error, ValueError) as error:
        raise PlatformFormatError("value_malformed", str(error)) from error
    return StoreItem(
        key=fields.read_text(table, "key"),
        value=value,
        revision=fields.read_int(table, "revision"),
    )


def decode_event(table: Mapping[str, Any]) -> StoreItem | Deletion:
    """Decode a change that a watch reported.

    Args:
        table: JSON object that the store sent.

    Returns:
        The deletion if the change is marked as one, otherwise the new item.

    Raises:
        PlatformFormatError: A field is missing or malformed.
    """
    if table.get("deleted"):
        return Deletion(
            fields.read_text(table, "key"), fields.read_int(table, "revision")
        )
    return decode_item(table)
