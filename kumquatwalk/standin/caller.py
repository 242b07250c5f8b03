"""Simulated caller that sends requests and validates the answers."""

import json
import time

import urllib3
from urllib3 import exceptions

from kumquatwalk.standin.caller_answer import CallerAnswer
from kumquatwalk.standin.target_answer import digest_body
from kumquatwalk.standin.target_answer import make_padding
from kumquatwalk.standin.target_call import TargetCall

__all__ = ["StandinCaller", "is_valid_answer"]

TARGET_OUTCOMES = frozenset({"done", "failed"})


class StandinCaller:
    """Thread-safe HTTP caller with a pool of persistent connections.

    Args:
        host: Address of a node's listener, or of a target.
        port: Port of the listener or target.
        connections: Size of the connection pool.
        timeout_s: Timeout for an answer, in seconds.

    Example:
        >>> caller = StandinCaller("127.0.0.1", 8080)  # doctest: +SKIP
        >>> caller.call("status", b"licence 7").outcome  # doctest: +SKIP
        'done'
    """

    def __init__(
        self,
        host: str,
        port: int,
        connections: int = 10,
        timeout_s: float = 30.0,
    ):
        self._timeout_s = timeout_s
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=connections, retries=False
        )

    def call(
        self,
        path: str,
        body: bytes = b"",
        key: str = "",
        ticket: str = "",
        timeout_ms: int | None = None,
        method: str = "POST",
    ) -> CallerAnswer:
        """Call a catalogue entry and wait for the answer.

        Args:
            path: Entry name with the rest of the path and the query, without
                the leading slash.
            body: Request body; its first line identifies the call in the
                target's log of runs and should be unique.
            key: Idempotency key; empty for none.
            ticket: Ticket from ``get_ticket``; empty for none.
            timeout_ms: Value sent as ``Kumquat-Timeout-Ms``, in milliseconds;
                None to send no deadline.
            method: HTTP method.

        Returns:
            The answer. A transport error gives status 0 and the name of the
            error as ``code``.
        """
        headers = {}
        if key:
            headers["Idempotency-Key"] = key
        if ticket:
            headers["Kumquat-Ticket"] = ticket
        if timeout_ms is not None:
            headers["Kumquat-Timeout-Ms"] = str(timeout_ms)
        started_at = time.monotonic()
        try:
            response = self._pool.urlopen(
                method,
                "/" + path,
                body=body,
                headers=headers,
                timeout=self._timeout_s,
            )
        except exceptions.HTTPError as error:
            elapsed_s = time.monotonic() - started_at
            return CallerAnswer(0, "none", type(error).__name__, b"", elapsed_s)
        return _read_answer(response, path, body, started_at)

    def get_ticket(self) -> str:
        """Request a ticket; return an empty string if the node issued none."""
        try:
            response = self._pool.urlopen(
                "POST", "/kumquatwalk/ticket", timeout=self._timeout_s
            )
        except exceptions.HTTPError:
            return ""
        if response.status != 200:
            return ""
        return response.json()["ticket"]

    def close(self) -> None:
        """Close the connection pool."""
        self._pool.close()


def is_valid_answer(text: bytes, path: str, body: bytes) -> bool:
    """Return whether an answer is complete and belongs to a given request.

    Checks the entry, the digest of the request body, the padding and, in turn,
    the answers of nested calls.

    Args:
        text: Body of the answer.
        path: Path of the request, with its query.
        body: Body of the request.
    """
    call = TargetCall(path, body, "", "", "", None)
    try:
        answer = json.loads(text)
        padding = answer["padding"]
        return (
            answer["entry"] == call.entry
            and answer["echo"] == digest_body(body)
            and padding == make_padding(answer["echo"], call.size)
            and all(
                _is_valid_nested_call(nested, call)
                for nested in answer["calls"]
            )
        )
    except (ValueError, KeyError, TypeError):
        return False


def _is_valid_nested_call(nested: dict, call: TargetCall) -> bool:
    if nested["outcome"] != "done":
        return True
    text = json.dumps(nested["answer"]).encode()
    return is_valid_answer(text, nested["entry"], call.tag)


def _read_answer(
    response: urllib3.BaseHTTPResponse,
    path: str,
    body: bytes,
    started_at: float,
) -> CallerAnswer:
    elapsed_s = time.monotonic() - started_at
    text = response.data
    outcome = response.headers.get("Kumquat-Outcome", "")
    code = response.headers.get("Kumquat-Code", "")
    is_whole = True
    if outcome in TARGET_OUTCOMES and not code:
        is_whole = is_valid_answer(text, path, body)
    return CallerAnswer(
        response.status, outcome, code, text, elapsed_s, is_whole
    )
