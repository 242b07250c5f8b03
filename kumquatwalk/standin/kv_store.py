"""In-memory key-value store with watches, leases and transactions."""

import asyncio
import base64
import dataclasses
import json
import urllib.parse
from collections.abc import Mapping
from typing import Any

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.config.fleet_config import CallerLimits
from kumquatwalk.exception import AnswerWithheldError
from kumquatwalk.exception import SettingError
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.server import HttpServer
from kumquatwalk.standin.store_faults import StoreFaults
from kumquatwalk.standin.store_faults import parse_faults
from kumquatwalk.standin.store_copies import StoreCopies
from kumquatwalk.standin.store_copies import StoreCopy

__all__ = ["KvStore"]

_JSON = (b"Content-Type", b"application/json")
_LEASE_CHECK_S = 0.02
# Limits that the platform documents for values and for lease TTLs.
_VALUE_BYTES_MAX = 1_000_000
_TTL_MIN_S = 1.0
_TTL_MAX_S = 600.0
_LIMITS = CallerLimits(body_bytes_max=64 * 1024 * 1024)
_ERA_HEADER = b"Store-Era"
_FIRST_ERA = 1


@dataclasses.dataclass(slots=True)
class _Item:
    value: str
    revision: int
    created: int
    lease: int


class KvStore:
    """In-memory store served over HTTP on the running event loop.

    It simulates the platform's store. ``PUT /faults`` sets the injected faults
    and ``GET /stats`` returns the number of calls by kind. ``PUT
    /restore?age_s=5`` restores a copy that is at most so old, and ``PUT
    /restore`` the one that ``PUT /copy`` took.

    Args:
        address: Address to listen on.

    Attributes:
        is_down: Whether every call is answered with status 503.
        faults: Injected faults.
        calls: Number of calls by the first segment of the path.
        era: Number sent with each answer; it rises with each restore.
    """

    def __init__(self, address: Address = Address("127.0.0.1", 0)):
        self._host = address.host
        self._server = HttpServer(address, self._handle, _LIMITS)
        self._previous_items: dict[str, _Item] = {}
        self.faults = StoreFaults()
        self._items: dict[str, _Item] = {}
        self._history: list[tuple[int, dict[str, Any]]] = []
        self._compacted_revision = 0
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease_id = 1
        self._change_event = asyncio.Event()
        self._expiry_task: asyncio.Task | None = None
        self._copies = StoreCopies()
        self._saved_copy: StoreCopy | None = None
        self.is_down = False
        self.calls: dict[str, int] = {}
        self.era = _FIRST_ERA
        self._is_watch_cut = True

    @property
    def address(self) -> Address:
        """Listening address; the port is previous once the store is started."""
        return Address(self._host, self._server.port)

    async def start(self) -> None:
        """Start the server and the expiry of leases."""
        await self._server.start()
        loop = asyncio.get_running_loop()
        self._expiry_task = loop.create_task(self._expire_leases())

    async def close(self) -> None:
        """Stop the server and the expiry of leases."""
        self._expiry_task.cancel()
        await self._server.close()

    def list_keys(self) -> list[str]:
        """Return all keys in sorted order."""
        return sorted(self._items)

    def find_lease(self, key: str) -> int:
        """Return the lease of a key; 0 for none or for an absent key.

        Args:
            key: Key of the item.
        """
        item = self._items.get(key)
        return 0 if item is None else item.lease

    def put(self, key: str, value: bytes) -> None:
        """Write an item without a lease, bypassing HTTP and faults.

        Args:
            key: Key of the item.
            value: Bytes to store.
        """
        self._put(key, base64.b64encode(value).decode(), 0)

    def delete(self, key: str) -> None:
        """Delete an item, bypassing HTTP and faults.

        Args:
            key: Key of the item; an absent key has no effect.
        """
        self._delete(key)

    def compact_history(self) -> None:
        """Discard the change history.

        Watches from an earlier revision are answered with status 410.
        """
        self._history.clear()
        self._compacted_revision = self._revision
        self._notify()

    def take_copy(self) -> StoreCopy:
        """Return a copy of all items and leases, for ``restore``."""
        return StoreCopy(
            read_now(),
            dict(self._items),
            tuple(self._history),
            dict(self._leases),
            self._revision,
            self._next_lease_id,
        )

    def restore(self, copy: StoreCopy, cut_watches: bool = True) -> None:
        """Replace all items and leases by those of a copy, in a new era.

        What was written since is lost, and revisions and lease identifiers are
        given out again.

        Args:
            copy: Copy from ``take_copy``.
            cut_watches: Whether waiting watches are cut off. Otherwise they go
                silent and are answered only when their wait expires.
        """
        now = read_now()
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self._leases = {
            lease: (now + ttl_s, ttl_s)
            for lease, (_, ttl_s) in copy.leases.items()
        }
        self._revision = copy.revision
        self._compacted_revision = min(self._compacted_revision, copy.revision)
        self._next_lease_id = copy.next_lease_id
        self._previous_items.clear()
        self._copies.clear()
        self.era += 1
        self._is_watch_cut = cut_watches
        self._notify()

    def restore_oldest_within(self, age_s: float) -> None:
        """Restore the oldest copy that is not older than a time.

        Copies are taken twice a second once the store is started.

        Args:
            age_s: Largest age of the copy, in seconds.
        """
        copy = self._copies.find_oldest_within(age_s, read_now())
        self.restore(copy or self.take_copy())

    def _restore_as_asked(self, query: Mapping[str, str]) -> None:
        if "age_s" in query:
            self.restore_oldest_within(float(query["age_s"]))
        elif self._saved_copy is not None:
            self.restore(self._saved_copy)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        response = await self._answer_call(request)
        era = (_ERA_HEADER, b"%d" % self.era)
        return dataclasses.replace(response, headers=(*response.headers, era))

    async def _answer_call(self, request: HttpRequest) -> HttpResponse:
        url = urllib.parse.urlsplit(request.url.decode("latin-1"))
        name = url.path.split("/")[1]
        if name == "stats":
            return _answer(self.calls)
        if name == "faults":
            return self._set_faults(request)
        if name == "copy":
            self._saved_copy = self.take_copy()
            return _answer({})
        if name == "restore":
            query = dict(urllib.parse.parse_qsl(url.query))
            self._restore_as_asked(query)
            return _answer({})
        self._abort_if_cut_off(request)
        self.calls[name] = self.calls.get(name, 0) + 1
        if self.is_down:
            return HttpResponse(503)
        await asyncio.sleep(self.faults.delay_ms / 1000)
        response = await self._serve(name, url, request)
        self._abort_if_cut_off(request)
        if name == "kv-txn" and response.status == 200:
            self._abort_if_answer_lost()
        return response

    async def _serve(
        self, name: str, url: urllib.parse.SplitResult, request: HttpRequest
    ) -> HttpResponse:
        query = dict(urllib.parse.parse_qsl(url.query))
        match name:
            case "kv-key":
                return self._get(query)
            case "kv-range":
                return self._list(query)
            case "kv-watch":
                return await self._watch(query, request)
            case "kv-txn":
                return self._commit(json.loads(request.body))
            case "kv-lease":
                return self._grant(json.loads(request.body))
            case "kv-keep":
                return self._keep_alive(int(url.path.split("/")[2]))
            case _:
                return HttpResponse(404)

    def _set_faults(self, request: HttpRequest) -> HttpResponse:
        try:
            self.faults = parse_faults(request.body)
        except SettingError as error:
            return _answer({"error": str(error)}, 400)
        self._notify()
        return _answer({})

    def _abort_if_cut_off(self, request: HttpRequest) -> None:
        faults = self.faults
        if faults.outage or request.peer_host.startswith(faults.cut_hosts):
            raise AnswerWithheldError("store_cut_off", "simulated outage")

    def _abort_if_answer_lost(self) -> None:
        if self.faults.lose_answers:
            left = self.faults.lose_answers - 1
            self.faults = dataclasses.replace(self.faults, lose_answers=left)
            raise AnswerWithheldError("answer_lost", "simulated loss")

    def _get(self, query: Mapping[str, str]) -> HttpResponse:
        item = self._items.get(query["key"])
        if item is None:
            return HttpResponse(404)
        if self.faults.stale_reads:
            item = self._previous_items.get(query["key"], item)
        document = self._describe(query["key"], item)
        return _answer({**document, "at": self._revision})

    def _list(self, query: Mapping[str, str]) -> HttpResponse:
        keys = [
            k for k in self.list_keys() if k.startswith(query["pathPrefix"])
        ]
        items = [self._describe(k, self._items[k]) for k in keys]
        return _answer({"items": items, "hasMore": False, "at": self._revision})

    async def _watch(
        self, query: Mapping[str, str], request: HttpRequest
    ) -> HttpResponse:
        until = read_now() + int(query["waitMs"]) / 1000
        after = int(query["after"])
        prefix = query["pathPrefix"]
        era = self.era
        while True:
            if self.is_down:
                return HttpResponse(503)
            self._abort_if_cut_off(request)
            is_current = era == self.era
            if not is_current and self._is_watch_cut:
                raise AnswerWithheldError("watch_cut", "simulated restore")
            if is_current and not self._has_history(after):
                return HttpResponse(410)
            events = [
                event
                for revision, event in self._history
                if revision > after and event["key"].startswith(prefix)
            ]
            if not is_current:
                events.clear()
            remaining_s = until - read_now()
            if events or remaining_s <= 0:
                return _answer({"events": events, "at": self._revision})
            changed = self._change_event
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _has_history(self, revision: int) -> bool:
        return self._compacted_revision <= revision <= self._revision

    def _commit(self, document: Mapping[str, Any]) -> HttpResponse:
        for row in document["expected"]:
            item = self._items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return _answer({"items": []}, 412)
        for put in document["puts"]:
            if put["leaseId"] and put["leaseId"] not in self._leases:
                return HttpResponse(404)
            if len(put["value"]) > 4 * (_VALUE_BYTES_MAX // 3 + 1):
                return HttpResponse(413)
        for put in document["puts"]:
            self._put(put["key"], put["value"], put["leaseId"])
        for key in document["deletes"]:
            self._delete(key)
        return _answer({"revision": self._revision})

    def _grant(self, document: Mapping[str, Any]) -> HttpResponse:
        ttl_s = document["ttlS"]
        if not _TTL_MIN_S <= ttl_s <= _TTL_MAX_S:
            return HttpResponse(400)
        lease = self._next_lease_id
        self._next_lease_id += 1
        self._leases[lease] = (read_now() + ttl_s, ttl_s)
        return _answer({"leaseId": lease, "ttlS": ttl_s})

    def _keep_alive(self, lease: int) -> HttpResponse:
        if lease not in self._leases:
            return HttpResponse(404)
        _, ttl_s = self._leases[lease]
        self._leases[lease] = (read_now() + ttl_s, ttl_s)
        return _answer({"ttlS": ttl_s})

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(_LEASE_CHECK_S)
            now = read_now()
            if self._copies.is_due(now):
                self._copies.add(self.take_copy())
            for lease, (until, _) in tuple(self._leases.items()):
                if until < now:
                    self.expire_lease(lease)

    def expire_lease(self, lease: int) -> None:
        """Expire a lease and delete the keys attached to it.

        Args:
            lease: Identifier of the lease.
        """
        del self._leases[lease]
        for key in [k for k, v in self._items.items() if v.lease == lease]:
            self._delete(key)

    def _put(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        previous = self._items.get(key)
        created = previous.created if previous else self._revision
        item = _Item(value, self._revision, created, lease)
        if previous is not None:
            self._previous_items[key] = previous
        self._items[key] = item
        self._history.append((self._revision, self._describe(key, item)))
        self._notify()

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        event = {"key": key, "revision": self._revision, "deleted": True}
        self._history.append((self._revision, event))
        self._notify()

    def _describe(self, key: str, item: _Item) -> dict[str, Any]:
        return {
            "key": key,
            "value": item.value,
            "revision": item.revision,
            "createdRev": item.created,
            "leaseId": item.lease,
        }

    def _notify(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()


def _answer(document: Mapping[str, Any], status: int = 200) -> HttpResponse:
    return HttpResponse(status, (_JSON,), json.dumps(document).encode())
