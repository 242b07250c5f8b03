"""Stand-ins for the cases of the second review: store, targets, nodes, clients.

Only the standard library is used. The nodes run as the deploy file says, as
separate processes on loopback addresses. The store, the targets and the clients
run on the event loop of the script.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse
from collections.abc import Awaitable
from collections.abc import Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "shop.example"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.5
START_TIMEOUT_S = 30.0
_CHUNK_BYTES = 1 << 18
_processes: list[subprocess.Popen] = []


class CannotRunError(Exception):
    """The case could not be run, which says nothing of the rule."""


class Record:
    """Writes what was sent, answered and run, with the time of each line.

    Args:
        path: File to write.
    """

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line.

        Args:
            text: The line without its time.
        """
        elapsed_s = time.monotonic() - self._began_at
        self._file.write(f"{elapsed_s:9.3f} {text}\n")
        self._file.flush()


class Message:
    """Head and body of an HTTP message.

    Attributes:
        start: First line, split at spaces.
        headers: Values by names in lower case; the first of each name.
        body: The body.
    """

    def __init__(self, head: bytes):
        lines = head.decode("latin-1").split("\r\n")
        self.start = lines[0].split(" ", 2)
        self.headers: dict[str, str] = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.headers.setdefault(name.strip().lower(), value.strip())
        self.body = b""

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message of a connection; None at its end.

    Args:
        reader: Stream of the connection.

    Raises:
        OSError: The connection was reset.
        asyncio.IncompleteReadError: It ended within the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    message = Message(head[:-4])
    if "chunked" in message.headers.get("transfer-encoding", ""):
        while size := int((await reader.readline()).split(b";")[0], 16):
            message.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif length := int(message.headers.get("content-length", "0")):
        message.body = await reader.readexactly(length)
    return message


class Store:
    """The platform's store, as far as a small deployment uses it.

    Attributes:
        address: Address as ``host:port``, once started.
    """

    def __init__(self):
        self._items: dict[str, dict] = {}
        self._history: list[dict] = []
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Start to serve."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 20
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item.

        Args:
            key: Key of the item.
            value: Its value.
            lease: Lease under which it is written; 0 for none.
        """
        self._put(key, base64.b64encode(value).decode(), lease)

    def _put(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        before = self._items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "createdRev": before["createdRev"] if before else self._revision,
            "leaseId": lease,
        }
        self._items[key] = item
        self._note(item)

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._note(
                {"key": key, "revision": self._revision, "deleted": True}
            )

    def _note(self, event: dict) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (until, _) in tuple(self._leases.items()):
            if until < now:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, item in tuple(self._items.items()):
            if item["leaseId"] == lease:
                self._delete(key)

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while (request := await read_message(reader)) is not None:
                self._expire()
                status, table = await self._answer(request)
                body = json.dumps(table).encode()
                writer.write(
                    b"HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(body)) + body
                )
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict]:
        url = urllib.parse.urlsplit(request.start[1])
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path.split("/")
        table = json.loads(request.body) if request.body else {}
        match parts[1]:
            case "kv-key":
                item = self._items.get(query["key"])
                if item is None:
                    return 404, {}
                return 200, {**item, "at": self._revision}
            case "kv-range":
                items = [
                    item
                    for key, item in sorted(self._items.items())
                    if key.startswith(query["pathPrefix"])
                ]
                table = {"items": items, "hasMore": False}
                return 200, {**table, "at": self._revision}
            case "kv-watch":
                return await self._watch(query)
            case "kv-txn":
                return self._commit(table)
            case "kv-lease":
                lease, ttl_s = len(self._leases) + 1000, table["ttlS"]
                while lease in self._leases:
                    lease += 1
                self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"leaseId": lease, "ttlS": ttl_s}
            case "kv-keep":
                lease = int(parts[2])
                if lease not in self._leases:
                    return 404, {}
                ttl_s = self._leases[lease][1]
                self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"ttlS": ttl_s}
            case "kv-lease-end":
                self._end_lease(int(parts[2]))
                return 200, {}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > int(query["after"])
                and event["key"].startswith(query["pathPrefix"])
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self._revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()

    def _commit(self, table: dict) -> tuple[int, dict]:
        for row in table["expected"]:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": []}
        for put in table["puts"]:
            if put["leaseId"] and put["leaseId"] not in self._leases:
                return 404, {}
        for put in table["puts"]:
            self._put(put["key"], put["value"], put["leaseId"])
        for key in table["deletes"]:
            self._delete(key)
        return 200, {"revision": self._revision}


class Target:
    """A backend: runs requests with a script of its own for each.

    Args:
        target_id: Its ``id``.
        host: Loopback address to listen on.
        record: Record of the case.

    Attributes:
        runs: Attempt identifiers in the order in which runs began.
        running: Number of requests that run.
        serve: Serves one request on a connection; may be replaced. Returns
            whether the connection is kept.
    """

    def __init__(self, target_id: str, host: str, record: Record):
        self.target_id = target_id
        self.host = host
        self.port = 0
        self.record = record
        self.runs: list[str] = []
        self.running = 0
        self.is_healthy = True
        self.serve: Callable[..., Awaitable[bool]] = self.run
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Address as ``host:port``."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Start to serve, on the same port as before if there was one."""
        self._server = await asyncio.start_server(
            self._accept, self.host, self.port, limit=1 << 20, backlog=1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop to serve and close all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _accept(self, reader, writer) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while (request := await read_message(reader)) is not None:
                if request.start[1] == "/health":
                    status = 200 if self.is_healthy else 503
                    self.write(
                        writer,
                        status,
                        [f"Instance-Id: {self.target_id}"],
                        b"",
                    )
                    continue
                expected = request.headers.get("expect-instance")
                if expected not in (None, self.target_id):
                    self.write(writer, 421, ["Not-Executed: 1"], b"")
                    continue
                if not await self.serve(self, request, reader, writer):
                    break
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    @staticmethod
    def write(writer, status: int, lines: list[str], body: bytes) -> None:
        """Write one response.

        Args:
            writer: Stream of the connection.
            status: Its status.
            lines: Its header lines without the length.
            body: Its body.
        """
        head = [f"HTTP/1.1 {status} Status", *lines]
        head.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)

    def begin(self, request: Message) -> str:
        """Note that a request begins to run; return its attempt identifier."""
        attempt_id = request.headers["attempt-id"]
        self.runs.append(attempt_id)
        self.record.write(
            f"run attempt={attempt_id} target={self.target_id}"
            f" {request.start[0]} {request.start[1]} body={len(request.body)}"
            f" deadline_ms={request.headers.get('deadline-ms')}"
            f" caller_service={request.headers.get('caller-service')}"
        )
        return attempt_id

    def answer(self, writer, attempt_id: str, body: bytes) -> None:
        """Write the success of a run."""
        self.write(
            writer,
            200,
            [f"Attempt-Id: {attempt_id}", f"Server-Seal: s.{attempt_id}"],
            body,
        )

    @staticmethod
    async def run(target, request, reader, writer) -> bool:
        """Run a request for the milliseconds that its path ends with.

        The path is ``/ROUTE/WORK_MS/BYTES``. Work stops at ``Deadline-Ms`` or
        when the connection closes.
        """
        attempt_id = target.begin(request)
        _, _, work_ms, size = request.start[1].split("/")
        work_s = int(work_ms) / 1000
        limit_s = int(request.headers.get("deadline-ms", "3600000")) / 1000
        target.running += 1
        try:
            closed = asyncio.ensure_future(_wait_until_closed(reader))
            done, _ = await asyncio.wait(
                (closed,), timeout=min(work_s, limit_s)
            )
            if done:
                target.record.write(f"run_dropped attempt={attempt_id}")
                return False
            closed.cancel()
        finally:
            target.running -= 1
        if work_s > limit_s:
            target.write(writer, 504, [f"Attempt-Id: {attempt_id}"], b"")
            return True
        target.answer(writer, attempt_id, b"x" * int(size))
        return True


async def _wait_until_closed(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


class Node:
    """One machine: a node process and the target beside it.

    Args:
        name: Name of the machine.
        service: Service of its target.
        zone: Zone.
        host: Loopback address of all its listeners.
        folder: Folder of the settings file and the log.
        store: The store.
        record: Record of the case.
        bounds: Texts ``name=value`` of the settings.
        memory_mb: Memory of the process.
    """

    def __init__(
        self,
        name,
        service,
        zone,
        host,
        folder,
        store,
        record,
        bounds,
        memory_mb,
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.host = host
        self.target = Target(f"i-{name}", host, record)
        self.bounds = list(bounds)
        self.memory_mb = memory_mb
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.slots = 64
        self.process: subprocess.Popen | None = None
        self.starts = 0
        self.listen = dict(
            zip(
                ("inbound", "outbound", "ready", "control", "metrics"),
                _reserve(host, 5),
            )
        )
        self._folder = folder
        self._store = store
        self.record = record

    @property
    def settings(self) -> pathlib.Path:
        """Path of the settings file."""
        return self._folder / f"{self.name}.toml"

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def write_settings(self) -> None:
        """Write the settings file, as the platform does."""
        metrics = self.listen["metrics"]
        lines = [
            f'node = "{self.name}"',
            'role = "node"',
            'machineClass = "sidecar"',
            'serves = ["sidecar"]',
            f'ip = "{self.host}"',
            f'zone = "{self.zone}"',
            'region = "region"',
            f"portRange = [{metrics},{metrics}]",
            "seeds = []",
            "bootstrap = true",
            'discovery = "local"',
            'entry = "local"',
            f"heartbeatS = {HEARTBEAT_S}",
            f"bounds = {json.dumps(self.bounds)}",
            f'appAddr = "{self.target.address}"',
            f'service = "{self.service}"',
            "[zones]",
            'z1 = "region"',
            'z2 = "region"',
            'z3 = "region"',
            "[listen]",
            *(
                f'{name} = "{self.host}:{self.listen[name]}"'
                for name in ("inbound", "outbound", "ready", "control")
            ),
            "[limits]",
            "cpuShare = 0.86",
            "cpuCores = 2",
            f"memoryMb = {self.memory_mb}",
            "maxFds = 4100",
            "[platform]",
            f'address = "{self._store.address}"',
            'form = "kv"',
        ]
        temporary = self.settings.with_suffix(".new")
        temporary.write_text("\n".join(lines) + "\n", encoding="utf-8")
        temporary.replace(self.settings)

    def start(self) -> None:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        words = role["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["KUMQUATWALK_CONFIG"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.starts += 1
        with (self._folder / f"{self.name}-{self.starts}.log").open(
            "wb"
        ) as log:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        _processes.append(self.process)

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.is_running:
            self.record.write(f"signal {number} node={self.name}")
            self.process.send_signal(number)

    def read_memory_mb(self) -> float:
        """Return the anonymous memory of the process; 0 if it has ended.

        Pages of files, such as those of libraries, are left out.
        """
        with contextlib.suppress(OSError):
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            for line in text.splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def report(self, table: dict | None, timeout_s: float = 1.0) -> int:
        """Send a liveness report, or the leaving, to the node.

        Args:
            table: Fields of the report; None for ``DELETE``.
            timeout_s: Time in which an answer counts.

        Returns:
            Status of the answer; 0 without one.
        """
        method = "DELETE" if table is None else "PUT"
        body = b"" if table is None else json.dumps(table).encode()
        try:
            async with asyncio.timeout(timeout_s):
                answer = await send(
                    self.host,
                    self.listen["control"],
                    method,
                    f"/instances/{self.target.target_id}",
                    ["Content-Type: application/json"],
                    body,
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0
        return 0 if answer is None else answer.status

    def make_report(self, **changes) -> dict:
        """Return the fields of the next liveness report."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.target.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftS": 0,
            "sequence": self.sequence,
            "born": self.born,
            **changes,
        }

    async def keep_reporting(self) -> None:
        """Send liveness reports until cancelled."""
        while True:
            if self.is_running and self.state != "gone":
                await self.report(self.make_report())
            await asyncio.sleep(HEARTBEAT_S if self.sequence > 5 else 0.2)


async def send(
    host: str,
    port: int,
    method: str,
    path: str,
    lines: list[str],
    body: bytes = b"",
) -> Message | None:
    """Send one request on a connection of its own; return the response.

    Args:
        host: Address of the server.
        port: Its port.
        method: Method.
        path: Path.
        lines: Header lines without host and length.
        body: Body.

    Returns:
        The response; None if the connection closed without one.
    """
    reader, writer = await asyncio.open_connection(host, port, limit=1 << 20)
    try:
        await write_request(writer, method, path, lines, body)
        return await read_message(reader)
    finally:
        writer.close()


async def write_request(
    writer, method: str, path: str, lines: list[str], body: bytes
) -> None:
    """Write one request to a connection."""
    head = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", *lines]
    if body or method == "POST":
        head.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
    for start in range(0, len(body), _CHUNK_BYTES):
        writer.write(body[start : start + _CHUNK_BYTES])
        await writer.drain()
    await writer.drain()


def make_route(name: str, kind: str, service: str, **changes) -> dict:
    """Return a route ``/NAME/`` of the manifest."""
    return {
        "name": name,
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "timeoutS": 10,
        "targetLatencyS": 1.5,
        "priority": 0 if kind == "unsafe" else 2,
        "service": service,
        "maxAttempts": 2,
        **changes,
    }


class Deployment:
    """A store and some machines on loopback addresses.

    Args:
        folder: Folder of the case, for ``record.txt``.
        bounds: Bounds in the settings.
        memory_mb: Memory of each process.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        bounds=(
            "addrReuseS=2",
            "drainS=2",
            "graceS=6",
            "retryBudgetRatio=0.2",
            "budgetWindowS=10",
            "budgetSlack=48",
        ),
        memory_mb: int = 300,
    ):
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.nodes: dict[str, Node] = {}
        self._bounds = bounds
        self._memory_mb = memory_mb
        self._files = tempfile.TemporaryDirectory()
        self._tasks: list[asyncio.Task] = []
        self._subnet = random.SystemRandom().randrange(100, 250)
        self._version = 0

    @property
    def files(self) -> pathlib.Path:
        """Temporary folder of settings files and logs."""
        return pathlib.Path(self._files.name)

    def put_manifest(self, routes: list[dict], **limits) -> None:
        """Write the next version of the manifest to the store."""
        self._version += 3
        services = sorted({route["service"] for route in routes})
        document = {
            "version": f"r{self._version}",
            "services": [
                {"name": s, "healthPath": "/health", "maxConnections": 900}
                for s in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutS": 3,
                "idleTimeoutS": 15,
                **limits,
            },
            "virtualHosts": [{"host": HOST, "paths": routes}],
        }
        self.store.put("op/config", json.dumps(document).encode())

    async def start(self, places: list[tuple[str, str, str]]) -> None:
        """Start the store and one node for each place.

        Args:
            places: Name, service and zone of each node.
        """
        await self.store.start()
        for number, (name, service, zone) in enumerate(places):
            host = f"127.{self._subnet}.0.{number + 1}"
            node = Node(
                name,
                service,
                zone,
                host,
                self.files,
                self.store,
                self.record,
                self._bounds,
                self._memory_mb,
            )
            self.nodes[name] = node
            await node.target.start()
            node.write_settings()
            node.start()
            self._tasks.append(asyncio.create_task(node.keep_reporting()))

    async def wait_until_served(self, paths: list[str]) -> None:
        """Wait until each node answers each path with 200.

        Raises:
            CannotRunError: They did not in time.
        """
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                for node in self.nodes.values():
                    for path in paths:
                        while not await self._is_served(node, path):
                            await asyncio.sleep(0.1)
        except TimeoutError as error:
            raise CannotRunError("the nodes did not serve in time") from error

    async def _is_served(self, node: Node, path: str) -> bool:
        answer = None
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            answer = await send(
                node.host,
                node.listen["outbound"],
                "GET",
                path,
                [f"Attempt-Id: {make_id()}", "Deadline-Ms: 2000"],
            )
        return answer is not None and answer.status == 200

    async def close(self) -> None:
        """End all processes."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes.values():
            await node.target.close()
            if node.is_running:
                node.process.kill()
            if node.process is not None:
                node.process.wait()
        if "KEEP_LOGS" in os.environ:
            target = pathlib.Path(os.environ["KEEP_LOGS"])
            target.mkdir(exist_ok=True)
            for path in self.files.iterdir():
                (target / path.name).write_bytes(path.read_bytes())
        self._files.cleanup()


def make_id() -> str:
    """Return a new attempt identifier."""
    return os.urandom(8).hex()


def has_trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def _reserve(host: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def _end_at_once() -> None:
    for process in _processes:
        if process.poll() is None:
            process.kill()
            process.wait()
    os._exit(EXIT_NOT_RUN)  # pylint: disable=protected-access


def run_case(main: Callable[[], Awaitable[bool]]) -> None:
    """Run a case, and exit with 0, 1 or 2 as the issue says.

    Args:
        main: Plays the case; returns whether the rule held.
    """

    async def play() -> None:
        # ``run.sh`` sends it when the case takes too long.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, _end_at_once
        )
        try:
            code = EXIT_HELD if await main() else EXIT_BROKEN
        except CannotRunError as error:
            print(f"could not run: {error}", file=sys.stderr)
            code = EXIT_NOT_RUN
        except Exception:  # pylint: disable=broad-exception-caught
            traceback.print_exc()
            code = EXIT_NOT_RUN
        sys.stdout.flush()
        sys.stderr.flush()
        # Connections of stand-ins may still be open.
        os._exit(code)  # pylint: disable=protected-access

    asyncio.run(play())
