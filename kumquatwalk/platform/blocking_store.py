"""Blocking client of the platform's store, for the command line."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

from kumquatwalk.exception import OutcomeUnknownError
from kumquatwalk.exception import PlatformError
from kumquatwalk.exception import PlatformFormatError
from kumquatwalk.exception import PlatformReadError
from kumquatwalk.exception import SettingError
from kumquatwalk.platform.settings import decode_address
from kumquatwalk.platform.store import StoreClient
from kumquatwalk.platform.store_items import Put
from kumquatwalk.platform.store_items import StoreItem
from kumquatwalk.platform.store_era import StoreEra
from kumquatwalk.platform.store_position import StorePosition

__all__ = ["BlockingStoreClient", "VALUE_BYTES_MAX"]

# Longest value that the store accepts: one megabyte, as the platform specifies.
VALUE_BYTES_MAX = 1_000_000
DEFAULT_TIMEOUT_S = 2.0

ResultT = TypeVar("ResultT")


class BlockingStoreClient:
    """Reads and writes single keys, with a new connection for each call.

    Args:
        address: Address of the store as ``host:port``.
        timeout_s: Time limit of each call, connecting included, in seconds.

    Raises:
        SettingError: The address is malformed.
    """

    def __init__(self, address: str, timeout_s: float = DEFAULT_TIMEOUT_S):
        try:
            store_address = decode_address(address, "platform")
        except PlatformFormatError as error:
            raise SettingError(
                "platform_address_invalid", error.message
            ) from error
        self._address = store_address
        self._timeout_s = timeout_s
        self._era = StoreEra()

    def get(self, key: str) -> StoreItem | None:
        """Return the item of a key, or None if the key does not exist.

        Args:
            key: Name of the key.

        Raises:
            PlatformUnavailableError: The store was not reached or answered
                503.
            PlatformReadError: The response was lost, late or malformed.
            PlatformError: The store refused the call.
        """
        try:
            return self._run(lambda client: client.get(key))
        except (OutcomeUnknownError, PlatformFormatError) as error:
            raise PlatformReadError(error.code, error.message) from error

    def put(
        self, key: str, value: bytes, expected: StorePosition
    ) -> StorePosition:
        """Write a value by compare-and-swap on the key's position.

        Args:
            key: Name of the key.
            value: Bytes to store, at most ``VALUE_BYTES_MAX``.
            expected: Position that the key must have; ``ABSENT`` means that
                the key must not exist.

        Returns:
            New position of the key.

        Raises:
            CompareFailedError: The key is at another position.
            PlatformUnavailableError: The store was not reached or answered
                503.
            OutcomeUnknownError: The response was lost, late or malformed; the
                write may have taken effect.
            PlatformError: The store refused the write, or the value is longer
                than ``VALUE_BYTES_MAX``.
        """
        if len(value) > VALUE_BYTES_MAX:
            raise PlatformError(
                "value_too_large",
                f"value has {len(value)} bytes; the limit is {VALUE_BYTES_MAX}",
            )
        try:
            return self._run(
                lambda c: c.commit([Put(key, value)], (), {key: expected})
            )
        except PlatformFormatError as error:
            raise OutcomeUnknownError(error.code, error.message) from error

    def _run(
        self, operation: Callable[[StoreClient], Awaitable[ResultT]]
    ) -> ResultT:
        return asyncio.run(self._run_async(operation))

    async def _run_async(
        self, operation: Callable[[StoreClient], Awaitable[ResultT]]
    ) -> ResultT:
        client = StoreClient(self._address, self._timeout_s, era=self._era)
        try:
            return await operation(client)
        finally:
            client.close()
