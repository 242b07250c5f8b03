"""Client of the platform's key-value service."""

import json

from kumquatwalk.exception import CompareFailedError
from kumquatwalk.exception import OutcomeUnknownError
from kumquatwalk.exception import PlatformError
from kumquatwalk.exception import PlatformReadError
from kumquatwalk.exception import PlatformUnavailableError
from kumquatwalk.platform import protocol
from kumquatwalk.platform.answer import Answer
from kumquatwalk.platform.key_value import KeyValue
from kumquatwalk.platform.lease import Lease
from kumquatwalk.platform.transport import Transport

__all__ = ["PlatformClient"]

DEFAULT_TIMEOUT_S = 2.0


class PlatformClient:
    """Client of the platform's service; safe to use from several threads.

    Nothing is sent twice. With several addresses the next one is tried only
    when the request was certainly not sent to the one before.

    Args:
        address: One or more ``host:port``, separated by commas.
        source_host: Local IP number that connections are bound to.
        timeout_s: Bound on connecting, and apart from it on the answer.

    Example:
        >>> client = PlatformClient("127.0.0.1:2379")
        >>> client.put("a", b"1", expected_revision=0)  # doctest: +SKIP
    """

    def __init__(
        self,
        address: str,
        source_host: str | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ):
        self._transports = tuple(
            Transport(part.strip(), source_host, timeout_s)
            for part in address.split(",")
        )

    def close(self) -> None:
        """Close the idle connections."""
        for transport in self._transports:
            transport.close()

    def get(self, key: str) -> KeyValue | None:
        """Return the key with its value; None when it does not exist.

        Args:
            key: Name of the key.

        Raises:
            PlatformUnavailableError: If the request was not sent.
            PlatformReadError: If no usable answer came.
            PlatformError: If the service refused.
        """
        answer = self._exchange("GET", _make_url(key))
        if answer.status == 404:
            return None
        return _parse_key_value(key, _check(answer), "GET")

    def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> KeyValue:
        """Write a value if the key is at the expected revision.

        Args:
            key: Name of the key.
            value: Bytes to store, at most ``protocol.MAX_VALUE_BYTES``.
            expected_revision: Revision that the key must have; 0 means that
                the key must not exist.
            lease_id: Lease that the key is tied to.

        Returns:
            The key with its new revision.

        Raises:
            CompareFailedError: If the key is at another revision.
            PlatformUnavailableError: If the request was not sent.
            OutcomeUnknownError: If the answer was lost.
            PlatformError: If the service refused.
        """
        if len(value) > protocol.MAX_VALUE_BYTES:
            raise PlatformError(
                "value_too_large",
                f"{len(value)} bytes, at most {protocol.MAX_VALUE_BYTES}",
            )
        url = f"{_make_url(key)}?expected={int(expected_revision)}"
        if lease_id is not None:
            url += f"&lease={_check_lease_id(lease_id)}"
        answer = _check(self._exchange("PUT", url, value))
        revision = _parse_number(answer, protocol.HEADER_REVISION, "PUT")
        return KeyValue(key, value, revision, lease_id)

    def delete(self, key: str, expected_revision: int) -> None:
        """Delete the key if it is at the expected revision.

        Args:
            key: Name of the key.
            expected_revision: Revision that the key must have.

        Raises:
            CompareFailedError: If the key is at another revision or gone.
            PlatformUnavailableError: If the request was not sent.
            OutcomeUnknownError: If the answer was lost.
            PlatformError: If the service refused.
        """
        url = f"{_make_url(key)}?expected={int(expected_revision)}"
        _check(self._exchange("DELETE", url))

    def grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease.

        Args:
            ttl_s: Seconds from a renewal until the lease lapses.

        Raises:
            PlatformUnavailableError: If the request was not sent.
            OutcomeUnknownError: If the answer was lost; the lease, if there is
                one, lapses by itself.
            PlatformError: If the service refused.
        """
        url = f"/leases?ttl_ms={round(ttl_s * 1000)}"
        answer = _check(self._exchange("POST", url))
        lease_id = answer.headers.get(protocol.HEADER_LEASE, "")
        if not protocol.KEY_PATTERN.fullmatch(lease_id):
            raise _make_malformed_error("POST", protocol.HEADER_LEASE)
        ttl_ms = _parse_number(answer, protocol.HEADER_TTL_MS, "POST")
        return Lease(lease_id, ttl_ms / 1000)

    def renew_lease(self, lease_id: str) -> None:
        """Restart the time of a lease.

        Args:
            lease_id: Identifier of the lease.

        Raises:
            PlatformUnavailableError: If the request was not sent.
            OutcomeUnknownError: If the answer was lost.
            PlatformError: If the lease has lapsed (code ``lease_unknown``).
        """
        url = f"/leases/{_check_lease_id(lease_id)}"
        _check(self._exchange("PUT", url))

    def watch(
        self, key: str, after_revision: int, wait_s: float
    ) -> KeyValue | None:
        """Wait until the key has a higher revision.

        Args:
            key: Name of the key.
            after_revision: Revision that the caller has; 0 for none.
            wait_s: Longest wait, at most ``protocol.MAX_WAIT_S``.

        Returns:
            The key with its value, or None when the wait ran out first.

        Raises:
            PlatformUnavailableError: If the request was not sent.
            PlatformReadError: If no usable answer came.
            PlatformError: If the service refused.
        """
        wait_s = min(max(wait_s, 0.0), protocol.MAX_WAIT_S)
        wait_ms = round(wait_s * 1000)
        url = f"{_make_url(key)}?after={int(after_revision)}&wait_ms={wait_ms}"
        answer = self._exchange("GET", url, wait_s=wait_s)
        if answer.status == 204:
            return None
        return _parse_key_value(key, _check(answer), "GET")

    def _exchange(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> Answer:
        for transport in self._transports[:-1]:
            try:
                return transport.exchange(method, url, body, wait_s)
            except PlatformUnavailableError:
                continue
        return self._transports[-1].exchange(method, url, body, wait_s)


def _make_url(key: str) -> str:
    if not protocol.KEY_PATTERN.fullmatch(key):
        raise PlatformError("key_invalid", f"{key!r} is not a valid key")
    return f"/keys/{key}"


def _check_lease_id(lease_id: str) -> str:
    if not protocol.KEY_PATTERN.fullmatch(lease_id):
        raise PlatformError("lease_invalid", f"{lease_id!r} is not a lease")
    return lease_id


def _check(answer: Answer) -> Answer:
    if answer.status == 200:
        return answer
    code, message = _parse_refusal(answer)
    if answer.status == 409:
        raise CompareFailedError(code, message)
    raise PlatformError(code, message)


def _parse_refusal(answer: Answer) -> tuple[str, str]:
    try:
        document = json.loads(answer.body)
        return str(document["code"]), str(document["message"])
    except (ValueError, KeyError, TypeError):
        return "platform_refused", f"status {answer.status}"


def _parse_key_value(key: str, answer: Answer, method: str) -> KeyValue:
    revision = _parse_number(answer, protocol.HEADER_REVISION, method)
    lease_id = answer.headers.get(protocol.HEADER_LEASE)
    return KeyValue(key, answer.body, revision, lease_id)


def _parse_number(answer: Answer, header: str, method: str) -> int:
    text = answer.headers.get(header, "")
    if not text.isdecimal() or len(text) > 18:
        raise _make_malformed_error(method, header)
    return int(text)


def _make_malformed_error(method: str, header: str) -> PlatformError:
    kind = PlatformReadError if method == "GET" else OutcomeUnknownError
    return kind("platform_answer_malformed", f"bad or missing {header}")
