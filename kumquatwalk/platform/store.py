"""Asynchronous client of the platform's key-value store."""

import base64
import json
import urllib.parse
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from kumquatwalk.address import Address
from kumquatwalk.event_loop import limit_time
from kumquatwalk.exception import CompareFailedError
from kumquatwalk.exception import ExchangeError
from kumquatwalk.exception import HistoryLostError
from kumquatwalk.exception import LeaseLostError
from kumquatwalk.exception import OutcomeUnknownError
from kumquatwalk.exception import PlatformError
from kumquatwalk.exception import PlatformFormatError
from kumquatwalk.exception import PlatformUnavailableError
from kumquatwalk.http1.client_connection import ClientConnection
from kumquatwalk.http1.client_connection import open_connection
from kumquatwalk.http1.encoder import encode_request
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.platform import fields
from kumquatwalk.platform import names
from kumquatwalk.platform.store_era import StoreEra
from kumquatwalk.platform.store_items import Put
from kumquatwalk.platform.store_items import Snapshot
from kumquatwalk.platform.store_items import StoreItem
from kumquatwalk.platform.store_items import WatchResult
from kumquatwalk.platform.store_items import decode_event
from kumquatwalk.platform.store_items import decode_item
from kumquatwalk.platform.store_items import decode_position
from kumquatwalk.platform.store_lease import StoreLease
from kumquatwalk.platform.store_position import ABSENT
from kumquatwalk.platform.store_position import StorePosition

__all__ = ["StoreClient"]

# Longest response accepted: a full page of items in base64, with its framing.
_RESPONSE_BYTES_MAX = 8 * 1024 * 1024
# Largest snapshot read, in bytes of keys and values, with the memory that an
# item takes beside them.
SNAPSHOT_BYTES_MAX = 32 * 1024 * 1024
_ITEM_OVERHEAD_BYTES = 300
# Idle connections kept for reuse. A long poll takes a connection of its own.
_IDLE_CONNECTIONS_MAX = 2


class StoreClient:
    """Client of the store that never retries a call.

    Positions and leases of an era that is over are never sent: their numbers
    may have been given out again for something else.

    An answer tells the state of the store when it was made. It may be read much
    later, if the process was not scheduled: where its age matters, count from
    the time at which the call was made.

    Args:
        address: Address of the store.
        timeout_s: Time limit of each call, connecting included, in seconds; a
            watch may take its wait in addition. See ``limit_time``.
        source_host: IP address to connect from; empty leaves the choice to
            the system.
        era: Era of the store, shared with other clients; None for one of its
            own.

    Attributes:
        calls: Number of calls started so far, failed ones included.
        era: Era of the store.
    """

    def __init__(
        self,
        address: Address,
        timeout_s: float,
        source_host: str = "",
        era: StoreEra | None = None,
    ):
        self._address = address
        self._timeout_s = timeout_s
        self._source_host = source_host
        self._idle_connections: list[ClientConnection] = []
        self.call_count = 0
        self.era = era or StoreEra()

    def set_address(self, address: Address) -> None:
        """Change the address of the store for later calls.

        A change closes the idle connections; calls in flight go on.

        Args:
            address: New address of the store.
        """
        if address != self._address:
            self._address = address
            self.close()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle_connections:
            connection.abort()
        self._idle_connections.clear()

    async def get(self, key: str) -> StoreItem | None:
        """Return the item of a key, or None if the key does not exist.

        Args:
            key: Name of the key.

        Raises:
            PlatformError: The store did not answer or refused the call.
        """
        query = urllib.parse.urlencode({"key": key})
        response = await self._call("GET", f"/kv-key?{query}")
        if response.status == 404:
            return None
        table = _decode_body(_check_status(response))
        return decode_item(table, self.era.number)

    async def list_items(
        self, prefix: str, allow_stale: bool = False
    ) -> Snapshot:
        """Return all items below a prefix, read page by page.

        The snapshot has the revision of the first page, so that a watch from
        it also reports the changes made while later pages were read.

        Args:
            prefix: Prefix of the keys.
            allow_stale: Whether the snapshot may be seconds old. The store then
                charges a tenth of the price.

        Raises:
            HistoryLostError: The store was restored between two pages.
            PlatformError: The store did not answer or refused a call, or its
                items exceed ``SNAPSHOT_BYTES_MAX``.
        """
        items: list[StoreItem] = []
        first: StorePosition | None = None
        after = ""
        size = 0
        while True:
            query = {"pathPrefix": prefix}
            if allow_stale:
                query["staleOk"] = "1"
            if after:
                query["after"] = after
            path = f"/kv-range?{urllib.parse.urlencode(query)}"
            table = _decode_body(_check_status(await self._call("GET", path)))
            era = self.era.number
            page = [
                decode_item(fields.read_table(v, "items"), era)
                for v in fields.read_list(table, "items")
            ]
            items += page
            size += sum(map(_measure_item, page))
            if size > SNAPSHOT_BYTES_MAX:
                raise PlatformError(
                    "snapshot_too_long",
                    f"items below {prefix} exceed the limit",
                )
            if first is None:
                first = decode_position(table, era, "at")
            self._check_era(first.era)
            if not page or not fields.read_bool(table, "hasMore", False):
                return Snapshot(tuple(items), first)
            after = page[-1].key

    async def watch(
        self, prefix: str, after: StorePosition, wait_s: float
    ) -> WatchResult:
        """Wait for changes below a prefix, by one long poll.

        Args:
            prefix: Prefix of the keys.
            after: Position up to which changes are known.
            wait_s: Longest time that the store waits for a change, in
                seconds.

        Returns:
            The changes after that position; none if the wait expired first.

        Raises:
            HistoryLostError: The store no longer holds all changes after that
                position, or was restored since; the items must be listed
                again.
            PlatformError: The store did not answer or refused the call.
        """
        self._check_era(after.era)
        query = urllib.parse.urlencode(
            {
                "pathPrefix": prefix,
                "after": after.revision,
                "waitMs": int(wait_s * 1000),
            }
        )
        response = await self._call("GET", f"/kv-watch?{query}", wait_s=wait_s)
        self._check_era(after.era)
        if response.status == 410:
            raise HistoryLostError(
                "history_lost",
                f"the store has no changes after revision {after.revision}",
            )
        table = _decode_body(_check_status(response))
        events = tuple(
            decode_event(fields.read_table(v, "events"), after.era)
            for v in fields.read_list(table, "events")
        )
        return WatchResult(events, decode_position(table, after.era, "at"))

    async def commit(
        self,
        puts: Sequence[Put] = (),
        deletions: Sequence[str] = (),
        expected: Mapping[str, StorePosition] | None = None,
    ) -> StorePosition:
        """Write and delete keys in one atomic transaction.

        Args:
            puts: Keys to write.
            deletions: Keys to delete.
            expected: Position that each of these keys must have for the
                transaction to take effect; ``ABSENT`` for a key that must not
                exist.

        Returns:
            Position of the transaction.

        Raises:
            CompareFailedError: A key is at another position than expected.
            LeaseLostError: A lease in ``puts`` does not exist.
            OutcomeUnknownError: The response was lost or late, or the store
                was restored meanwhile; the transaction may have taken effect.
            PlatformError: The store was not reached or refused the call.
        """
        expected = expected or {}
        document = {
            "expected": [
                {"key": key, "revision": position.revision}
                for key, position in expected.items()
            ],
            "puts": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "leaseId": put.lease.number if put.lease else 0,
                }
                for put in puts
            ],
            "deletes": list(deletions),
        }
        eras = {p.era for p in expected.values() if p != ABSENT}
        lease_eras = {put.lease.era for put in puts if put.lease}
        if eras - {self.era.number}:
            raise CompareFailedError(
                "compare_failed", "the store was restored since the read"
            )
        if lease_eras - {self.era.number}:
            raise LeaseLostError(
                "lease_unknown", "the store was restored since the grant"
            )
        response = await self._call("POST", "/kv-txn", document)
        if (eras | lease_eras) - {self.era.number}:
            # It was compared with what another era gave the same numbers.
            raise OutcomeUnknownError(
                "store_restored", "the store was restored during the call"
            )
        if response.status == 412:
            raise CompareFailedError(
                "compare_failed", "a key is not at its expected revision"
            )
        if response.status == 404:
            raise LeaseLostError(
                "lease_unknown", "a lease of the transaction does not exist"
            )
        table = _decode_body(_check_status(response))
        return decode_position(table, self.era.number)

    async def grant_lease(self, ttl_s: float) -> StoreLease:
        """Create a lease and return it.

        Args:
            ttl_s: Time until the lease expires unless it is renewed, in
                seconds.

        Raises:
            PlatformError: The store did not answer or refused the call.
        """
        response = await self._call("POST", "/kv-lease", {"ttlS": ttl_s})
        table = _decode_body(_check_status(response))
        number = fields.read_int(table, "leaseId")
        return StoreLease(self.era.number, number)

    async def renew_lease(self, lease: StoreLease) -> None:
        """Renew a lease for its full time to live.

        Args:
            lease: Lease from ``grant_lease``.

        Raises:
            LeaseLostError: The lease has expired or was revoked, or the store
                was restored since it was granted.
            PlatformError: The store did not answer or refused the call.
        """
        if lease.era != self.era.number:
            raise _make_lease_error(lease)
        response = await self._call("POST", f"/kv-keep/{lease.number}", {})
        if response.status == 404 or lease.era != self.era.number:
            raise _make_lease_error(lease)
        _check_status(response)

    async def revoke_lease(self, lease: StoreLease) -> None:
        """Revoke a lease, which deletes its keys.

        The status of the response is ignored. A lease of an era that is over
        is not revoked.

        Args:
            lease: Lease from ``grant_lease``.

        Raises:
            PlatformError: The store did not answer.
        """
        if lease.era == self.era.number:
            await self._call("DELETE", f"/kv-lease-end/{lease.number}")

    def _check_era(self, era: int) -> None:
        if era != self.era.number:
            raise HistoryLostError(
                "store_restored",
                f"the store is in era {self.era.number}, not {era}",
            )

    async def _call(
        self,
        method: str,
        path: str,
        document: Mapping[str, Any] | None = None,
        wait_s: float = 0.0,
    ) -> HttpResponse:
        self.call_count += 1
        headers = [(b"Host", str(self._address).encode())]
        body = b""
        if document is not None:
            headers.append((b"Content-Type", b"application/json"))
            body = json.dumps(document, separators=(",", ":")).encode()
        data = encode_request(
            method.encode(), path.encode(), tuple(headers), body
        )
        try:
            async with limit_time(self._timeout_s + wait_s):
                connection = await self._acquire_connection()
                response = await connection.exchange(data)
        except TimeoutError as error:
            raise OutcomeUnknownError("platform_silent", path) from error
        except ExchangeError as error:
            if error.sent:
                raise OutcomeUnknownError(error.code, error.message) from error
            raise PlatformUnavailableError(error.code, error.message) from error
        if (
            connection.is_usable
            and len(self._idle_connections) < _IDLE_CONNECTIONS_MAX
        ):
            self._idle_connections.append(connection)
        else:
            connection.abort()
        self.era.observe(response.find_header(names.HEADER_STORE_ERA))
        return response

    async def _acquire_connection(self) -> ClientConnection:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_usable:
                return connection
        return await open_connection(
            self._address,
            self._timeout_s,
            _RESPONSE_BYTES_MAX,
            self._source_host,
        )


def _measure_item(item: StoreItem) -> int:
    return len(item.key) + len(item.value) + _ITEM_OVERHEAD_BYTES


def _make_lease_error(lease: StoreLease) -> LeaseLostError:
    return LeaseLostError(
        "lease_unknown", f"lease {lease.number} does not exist"
    )


def _check_status(response: HttpResponse) -> HttpResponse:
    if response.status == 200:
        return response
    if response.status == 503:
        raise PlatformUnavailableError(
            "platform_unavailable", "the store answered 503"
        )
    raise PlatformError(
        "platform_refused", f"the store answered {response.status}"
    )


def _decode_body(response: HttpResponse) -> Mapping[str, Any]:
    try:
        return fields.read_table(json.loads(response.body), "answer")
    except (ValueError, RecursionError) as error:
        raise PlatformFormatError("json_invalid", str(error)[:200]) from error
