"""HTTP interface of the stand-in platform."""

import json
import urllib.parse

from cheroot import server

from kumquatwalk.platform import protocol
from kumquatwalk.platform.answer import Answer
from kumquatwalk.platform.key_value import KeyValue
from kumquatwalk.platform.lease import Lease
from kumquatwalk.standin.platform_error import RefusalError
from kumquatwalk.standin.platform_faults import parse_faults
from kumquatwalk.standin.platform_service import PlatformService

__all__ = ["PlatformGateway"]

MAX_NUMBER_DIGITS = 18


class PlatformGateway(server.Gateway):
    """Handles one request; the server's ``service`` does the operation."""

    def respond(self) -> None:
        """Do the operation and send its answer, or drop the connection."""
        service: PlatformService = self.req.server.service
        path = self.req.path.decode("ascii", "replace")
        if path in ("/stats", "/faults"):
            self._send(self._administer(service, path))
            return
        host = self.req.conn.remote_addr
        service.delay()
        if service.is_dropped(host):
            self._drop(service)
            return
        answer = self._operate(service, path, host)
        is_write = self.req.method != b"GET" and answer.status == 200
        lost = is_write and service.take_lost_answer()
        if lost or service.is_dropped(host):
            self._drop(service)
            return
        self._send(answer)

    def _operate(
        self, service: PlatformService, path: str, host: str
    ) -> Answer:
        try:
            if path.startswith("/keys/"):
                return self._handle_key(service, path[len("/keys/") :], host)
            if path == "/leases" or path.startswith("/leases/"):
                return self._handle_lease(service, path[len("/leases/") :])
            raise RefusalError(404, "path_unknown", "no such path")
        except RefusalError as error:
            return _make_refusal(error)

    def _handle_key(
        self, service: PlatformService, key: str, host: str
    ) -> Answer:
        if not protocol.KEY_PATTERN.fullmatch(key):
            raise RefusalError(400, "key_invalid", "not a valid key")
        query = _parse_query(self.req.qs)
        if self.req.method == b"GET" and "after" in query:
            return self._watch(service, key, query, host)
        if self.req.method == b"GET":
            service.count("get")
            present = service.get(key)
            if present is None:
                raise RefusalError(404, "key_unknown", f"{key} does not exist")
            return _make_key_answer(present)
        expected = _get_number(query, "expected")
        if self.req.method == b"PUT":
            service.count("put")
            lease_id = query.get("lease")
            written = service.put(key, self._read_body(), expected, lease_id)
            headers = {protocol.HEADER_REVISION: str(written.revision)}
            return Answer(200, headers, b"")
        if self.req.method == b"DELETE":
            service.count("delete")
            service.delete(key, expected)
            return Answer(200, {}, b"")
        raise RefusalError(405, "method_unknown", "GET, PUT or DELETE")

    def _watch(
        self, service: PlatformService, key: str, query: dict, host: str
    ) -> Answer:
        service.count("watch")
        after = _get_number(query, "after")
        wait_s = _get_number(query, "wait_ms") / 1000
        wait_s = min(wait_s, protocol.MAX_WAIT_S)
        present = service.watch(key, after, wait_s, host)
        if present is None:
            return Answer(204, {}, b"")
        return _make_key_answer(present)

    def _handle_lease(self, service: PlatformService, lease_id: str) -> Answer:
        if self.req.method == b"POST" and not lease_id:
            service.count("lease_grant")
            ttl_s = _get_number(_parse_query(self.req.qs), "ttl_ms") / 1000
            if not protocol.MIN_TTL_S <= ttl_s <= protocol.MAX_TTL_S:
                raise RefusalError(400, "ttl_invalid", "ttl_ms out of range")
            return _make_lease_answer(service.grant_lease(ttl_s))
        if self.req.method == b"PUT" and lease_id:
            service.count("lease_renew")
            service.renew_lease(lease_id)
            return Answer(200, {}, b"")
        raise RefusalError(405, "method_unknown", "POST, or PUT of a lease")

    def _administer(self, service: PlatformService, path: str) -> Answer:
        if path == "/stats":
            body = json.dumps(service.get_counts()).encode()
            return Answer(200, {}, body)
        try:
            service.set_faults(parse_faults(self._read_body()))
        except RefusalError as error:
            return _make_refusal(error)
        return Answer(200, {}, b"")

    def _read_body(self) -> bytes:
        return self.req.rfile.read()

    def _send(self, answer: Answer) -> None:
        reason = "OK" if answer.status < 400 else "Refused"
        self.req.status = f"{answer.status} {reason}".encode()
        headers = [
            (name.encode(), value.encode())
            for name, value in answer.headers.items()
        ]
        if answer.status != 204:
            length = str(len(answer.body)).encode()
            headers.append((b"Content-Length", length))
        self.req.outheaders = headers
        self.req.ensure_headers_sent()
        if answer.body:
            self.req.write(answer.body)

    def _drop(self, service: PlatformService) -> None:
        service.count("dropped")
        self.req.ready = False
        self.req.close_connection = True


def _parse_query(raw: bytes) -> dict[str, str]:
    return dict(urllib.parse.parse_qsl(raw.decode("ascii", "replace")))


def _get_number(query: dict[str, str], name: str) -> int:
    text = query.get(name, "")
    if not text.isdecimal() or len(text) > MAX_NUMBER_DIGITS:
        raise RefusalError(400, "query_invalid", f"{name} must be a number")
    return int(text)


def _make_key_answer(present: KeyValue) -> Answer:
    headers = {protocol.HEADER_REVISION: str(present.revision)}
    if present.lease_id is not None:
        headers[protocol.HEADER_LEASE] = present.lease_id
    return Answer(200, headers, present.value)


def _make_lease_answer(lease: Lease) -> Answer:
    headers = {
        protocol.HEADER_LEASE: lease.lease_id,
        protocol.HEADER_TTL_MS: str(round(lease.ttl_s * 1000)),
    }
    return Answer(200, headers, b"")


def _make_refusal(error: RefusalError) -> Answer:
    document = {"code": error.code, "message": error.message}
    return Answer(error.status, {}, json.dumps(document).encode())
