"""Stand-in caller: sends calls and checks the answers."""

import json
import time

import urllib3
from urllib3 import exceptions

from kumquatwalk.standin.caller_answer import CallerAnswer
from kumquatwalk.standin.target_answer import digest_body
from kumquatwalk.standin.target_answer import make_padding
from kumquatwalk.standin.target_call import TargetCall

__all__ = ["StandinCaller", "is_whole_answer"]

TARGET_OUTCOMES = frozenset({"done", "failed"})


class StandinCaller:
    """Caller that keeps its connections open; threads may share it.

    Args:
        host: Address of a node's listener, or of a target.
        port: Its port.
        connections: Connections kept open.
        timeout_s: Longest wait for an answer, in seconds.

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
        """Call an entry and wait for the answer.

        Args:
            path: Entry with the rest of its path and query, without slash.
            body: Body; its first line should be unique to the call.
            key: Idempotency key; empty for none.
            ticket: Ticket; empty for none.
            timeout_ms: Time the caller gives the request, in milliseconds.
            method: HTTP method.

        Returns:
            The answer; transport errors are told by status 0.
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
        """Return a new ticket; empty when the node gave none."""
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
        """Close the connections."""
        self._pool.close()


def is_whole_answer(text: bytes, path: str, body: bytes) -> bool:
    """Return whether a target's answer is whole and belongs to a call.

    Args:
        text: Body of the answer.
        path: Path called, with its query.
        body: Body sent.
    """
    call = TargetCall(path, body, "", "", "", None)
    try:
        answer = json.loads(text)
        padding = answer["padding"]
        return (
            answer["entry"] == call.entry
            and answer["echo"] == digest_body(body)
            and padding == make_padding(answer["echo"], call.size)
            and all(_is_whole_child(made, call) for made in answer["calls"])
        )
    except (ValueError, KeyError, TypeError):
        return False


def _is_whole_child(made: dict, call: TargetCall) -> bool:
    if made["outcome"] != "done":
        return True
    text = json.dumps(made["answer"]).encode()
    return is_whole_answer(text, made["entry"], call.tag)


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
        is_whole = is_whole_answer(text, path, body)
    return CallerAnswer(
        response.status, outcome, code, text, elapsed_s, is_whole
    )
