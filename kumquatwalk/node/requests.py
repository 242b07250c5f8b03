"""Outside requests: from an HTTP request to a call and back."""

import hashlib
import secrets
import time

from kumquatwalk import codes
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.replica import CatalogueReplica
from kumquatwalk.gateway.headers import list_forwarded
from kumquatwalk.gateway.request import HttpRequest
from kumquatwalk.link.reply import Reply
from kumquatwalk.node.entry import EntrySide
from kumquatwalk.node.intent import CallIntent
from kumquatwalk.node.refusal import refuse
from kumquatwalk.retry.share import CallTokens
from kumquatwalk.retry.tokens import TokenPool

__all__ = [
    "OutsideRequests",
    "digest_request",
    "find_entry",
    "make_priority",
    "read_timeout_s",
]

_REQUEST_ID_BYTES = 16
_TIMEOUT_HEADER = b"Kumquat-Timeout-Ms"
_LONGEST_TIMEOUT_TEXT = 9
_HASH_VALUES = 256


class OutsideRequests:
    """Serves requests of outside callers.

    Args:
        replica: The node's catalogue.
        entry_side: Makes the calls.
    """

    def __init__(self, replica: CatalogueReplica, entry_side: EntrySide):
        self._replica = replica
        self._entry_side = entry_side

    def find_entry(self, request: HttpRequest) -> Entry | None:
        """Return the entry that the request names; None for none."""
        return find_entry(self._replica, request.path)

    def serve(
        self, request: HttpRequest, entry: Entry, deadline: float
    ) -> Reply:
        """Run a request as the root of a new chain.

        The class, the tokens and the request id are the node's; nothing that
        the caller sends changes them.

        Args:
            request: The request.
            entry: Entry that it names.
            deadline: Monotonic time by which the answer is due.

        Returns:
            The reply.
        """
        if deadline <= time.monotonic():
            return refuse(codes.DEADLINE_EXCEEDED)
        request_id = secrets.token_bytes(_REQUEST_ID_BYTES)
        intent = CallIntent(
            entry=entry,
            method=request.method,
            url=request.url,
            headers=list_forwarded(request.headers),
            body=request.body,
            request_id=request_id,
            priority=make_priority(entry, request_id),
            depth=0,
            deadline=deadline,
            tokens=CallTokens(TokenPool(entry.limits.retries)),
            protected=not entry.idempotent,
        )
        return self._entry_side.make_call(intent)


def make_priority(entry: Entry, request_id: bytes) -> int:
    """Return the priority of a request, 0 to 1023; lower is more important.

    Args:
        entry: Entry of the outside request.
        request_id: Its identifier, of which a hash orders requests within the
            class in the same way at all gates.
    """
    digest = hashlib.blake2s(request_id, digest_size=1).digest()
    return entry.importance * _HASH_VALUES + digest[0]


def digest_request(request: HttpRequest) -> bytes:
    """Return a digest of method, URL and body, which a repeat shares."""
    digest = hashlib.sha256(request.method.encode() + b"\0" + request.url)
    digest.update(b"\0" + request.body)
    return digest.digest()


def find_entry(replica: CatalogueReplica, path: bytes) -> Entry | None:
    """Return the entry that a path names; None when there is none."""
    name = path[1:].partition(b"/")[0].decode("latin-1")
    return replica.current().entries.get(name)


def read_timeout_s(request: HttpRequest, most_s: float) -> float | None:
    """Return the time that a caller gives, seconds, never above ``most_s``.

    Returns:
        The time; None when the header is malformed.
    """
    text = request.headers.get(_TIMEOUT_HEADER)
    if text is None:
        return most_s
    if not text.isdigit() or len(text) > _LONGEST_TIMEOUT_TEXT:
        return None
    return min(int(text) / 1000, most_s)
