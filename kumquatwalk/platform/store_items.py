"""Items, writes and changes of the platform's store, with their decoders."""

import base64
import binascii
import dataclasses
from collections.abc import Mapping
from typing import Any

from kumquatwalk.exception import PlatformFormatError
from kumquatwalk.platform import fields
from kumquatwalk.platform.store_lease import StoreLease
from kumquatwalk.platform.store_position import StorePosition

__all__ = [
    "Deletion",
    "Put",
    "Snapshot",
    "StoreItem",
    "WatchResult",
    "decode_event",
    "decode_item",
    "decode_position",
]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreItem:
    """A key with its value.

    Attributes:
        key: Name of the key.
        value: Bytes stored.
        position: Position of the last write to the key.
    """

    key: str
    value: bytes
    position: StorePosition


@dataclasses.dataclass(frozen=True, slots=True)
class Deletion:
    """A key that has been deleted.

    Attributes:
        key: Name of the key.
        position: Position of the deletion.
    """

    key: str
    position: StorePosition


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All items below a prefix.

    Attributes:
        items: The items, in the order in which the store lists them.
        position: Position from which to watch for later changes.
    """

    items: tuple[StoreItem, ...]
    position: StorePosition


@dataclasses.dataclass(frozen=True, slots=True)
class WatchResult:
    """Changes that a watch reported.

    Attributes:
        events: Writes and deletions, in the order of their positions.
        position: Position from which to continue the watch.
    """

    events: tuple[StoreItem | Deletion, ...]
    position: StorePosition


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A write in a transaction.

    Attributes:
        key: Name of the key.
        value: Bytes to store.
        lease: Lease at whose end the key is deleted; None for none.
    """

    key: str
    value: bytes
    lease: StoreLease | None = None


def decode_item(table: Mapping[str, Any], era: int) -> StoreItem:
    """Decode an item; a value that is missing or not text reads as empty.

    Args:
        table: JSON object that the store sent, with the value in base64.
        era: Era of the answer.

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
        position=decode_position(table, era),
    )


def decode_position(
    table: Mapping[str, Any], era: int, name: str = "revision"
) -> StorePosition:
    """Decode a position.

    Args:
        table: JSON object that the store sent.
        era: Era of the answer.
        name: Field with the revision.

    Raises:
        PlatformFormatError: The field is missing or malformed.
    """
    return StorePosition(era, fields.read_int(table, name))


def decode_event(table: Mapping[str, Any], era: int) -> StoreItem | Deletion:
    """Decode a change that a watch reported.

    Args:
        table: JSON object that the store sent.
        era: Era of the answer.

    Returns:
        The deletion if the change is marked as one, otherwise the new item.

    Raises:
        PlatformFormatError: A field is missing or malformed.
    """
    if table.get("deleted"):
        return Deletion(
            fields.read_text(table, "key"), decode_position(table, era)
        )
    return decode_item(table, era)
