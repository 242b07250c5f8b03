"""Spreads catalogue changes between nodes."""

import queue
import threading
import time
import zlib

from kumquatwalk.catalogue.audit import AuditRecord
from kumquatwalk.catalogue.codec import decode_catalogue
from kumquatwalk.catalogue.codec import encode_catalogue
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.offer import OfferOutcome
from kumquatwalk.catalogue.record_codec import decode_records
from kumquatwalk.catalogue.record_codec import encode_records
from kumquatwalk.catalogue.replica import CatalogueReplica
from kumquatwalk.exception import CatalogueError
from kumquatwalk.exception import KumquatwalkError
from kumquatwalk.exception import LinkError
from kumquatwalk.link.catalogue_reply import CatalogueReply
from kumquatwalk.link.catalogue_request import CatalogueRequest
from kumquatwalk.link.peer import Peer
from kumquatwalk.link.pool import LinkPool
from kumquatwalk.logs import Level
from kumquatwalk.logs import log_event
from kumquatwalk.membership.broadcast import MAX_PAYLOAD_BYTES
from kumquatwalk.membership.broadcast_kind import BroadcastKind
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.service import Membership

__all__ = ["CatalogueSync"]

_QUEUE_MAX = 64
_PAUSE_S = 0.2
_INFLATED_BYTES_MAX = 65536


class CatalogueSync:
    """Applies changes heard from peers and asks peers for what was missed.

    A change travels as the records of its write in one broadcast. A node that
    learns of a revision that it cannot reach from its own asks a peer that has
    it for the whole document, on a thread of its own.

    Args:
        replica: The node's catalogue.
        membership: Carries broadcasts and revisions.
        links: Links to other nodes.
    """

    def __init__(
        self,
        replica: CatalogueReplica,
        membership: Membership,
        links: LinkPool,
    ):
        self._replica = replica
        self._membership = membership
        self._links = links
        self._wanted: queue.Queue[Member | None] = queue.Queue(_QUEUE_MAX)
        self._is_closed = False
        self._thread = threading.Thread(
            target=self._run, name="catalogue-sync", daemon=True
        )

    def start(self) -> None:
        """Begin to follow the replica and to ask peers."""
        self._replica.add_listener(self._publish)
        self._thread.start()

    def close(self) -> None:
        """Stop asking peers."""
        self._is_closed = True
        self._want(None)

    def spread(self, records: tuple[AuditRecord, ...]) -> None:
        """Broadcast the records of a change read from the platform.

        Records too long for a broadcast are left out: the revision that
        travels with each membership message makes peers ask for them.
        """
        payload = zlib.compress(encode_records(records)) if records else b""
        if 0 < len(payload) <= MAX_PAYLOAD_BYTES:
            kind = BroadcastKind.CATALOGUE_RECORD
            self._membership.broadcast(kind, payload)

    def take_broadcast(self, payload: bytes) -> None:
        """Apply records that a peer broadcast."""
        try:
            inflater = zlib.decompressobj()
            text = inflater.decompress(payload, _INFLATED_BYTES_MAX)
            records = decode_records(text)
        except (CatalogueError, zlib.error) as error:
            log_event("broadcast_rejected", Level.ERROR, error=str(error))
            return
        result = self._replica.apply_all(records, time.monotonic())
        if result.outcome is OfferOutcome.INVALID:
            log_event("records_rejected", Level.ERROR, error=result.message)

    def note_newer(self, member: Member, _: int) -> None:
        """Ask a member whose revision is higher than this node's."""
        self._want(member)

    def reply(self, request: CatalogueRequest) -> CatalogueReply:
        """Return the document to a peer whose revision is lower."""
        current = self._replica.current()
        if current.revision <= request.after_revision:
            return CatalogueReply(current.revision, b"")
        return CatalogueReply(current.revision, encode_catalogue(current))

    def report(self, error: KumquatwalkError) -> None:
        """Log an error of the watcher."""
        log_event(
            "catalogue_error",
            Level.WARNING,
            code=error.code,
            error=error.message,
        )

    def _publish(self, catalogue: Catalogue) -> None:
        self._membership.publish_revision(catalogue.revision)
        log_event("catalogue_changed", revision=catalogue.revision)

    def _want(self, member: Member | None) -> None:
        try:
            self._wanted.put_nowait(member)
        except queue.Full:
            pass

    def _run(self) -> None:
        while not self._is_closed:
            member = self._wanted.get()
            if member is None:
                continue
            if member.catalogue_revision > self._replica.current().revision:
                self._fetch(member)

    def _fetch(self, member: Member) -> None:
        peer = Peer(member.node_id, member.host, member.link_port)
        revision = self._replica.current().revision
        try:
            reply = self._links.request(peer, CatalogueRequest(revision))
            if not isinstance(reply, CatalogueReply) or not reply.document:
                return
            catalogue = decode_catalogue(reply.document)
        except (LinkError, CatalogueError) as error:
            log_event("catalogue_fetch_failed", error=str(error))
            time.sleep(_PAUSE_S)
            return
        self._replica.offer(catalogue, time.monotonic())
