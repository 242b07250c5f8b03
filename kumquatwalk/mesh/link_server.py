"""Server end of links: accepts peers' connections and serves their calls."""

import asyncio
import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

from kumquatwalk import codes
from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.listener import Listener
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level
from kumquatwalk.mesh.codec import encode
from kumquatwalk.mesh.link_protocol import LinkProtocol
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import CallFrame
from kumquatwalk.mesh.message import Cancel
from kumquatwalk.mesh.message import CapGrant
from kumquatwalk.mesh.message import CapHolder
from kumquatwalk.mesh.message import CapRequest
from kumquatwalk.mesh.message import ConfigDocument
from kumquatwalk.mesh.message import ConfigRequest
from kumquatwalk.mesh.message import CrashNotice
from kumquatwalk.mesh.message import HedgeRequest
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.message import Message
from kumquatwalk.mesh.message import OwnerQuery
from kumquatwalk.mesh.message import OwnerQueryFrame
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.message import ReplyFrame
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.mesh.partition import Partition
from kumquatwalk.outcome import Outcome
from kumquatwalk.tasks import log_errors

__all__ = ["LINK_LOST", "LinkServer"]

# Cancellation message for calls whose link was lost. The caller may still be
# waiting and send the call again on another connection.
LINK_LOST = "link_lost"
# Time that peers have to close their ends before links are aborted, in seconds.
LINGER_S = 0.1
# Maximum time that peers have to take the last replies, in seconds: several
# round trips between zones.
LINGER_MAX_S = 1.0
_POLL_S = 0.01
# Connections that may wait to be accepted.
BACKLOG = 1024
# Time from the handshake to the second status, in seconds.
SECOND_STATUS_S = 0.1
# Maximum number of calls of a link whose keys are remembered after their
# replies: a peer of an earlier release does not say that it has taken them.
KEYS_MAX = 10_000
# Maximum size of the first message of a link.
HELLO_BYTES_MAX = 64 * 1024


@dataclasses.dataclass(slots=True)
class _Session:
    link: LinkProtocol
    peer: Hello | None = None
    tasks: dict[int, asyncio.Task] = dataclasses.field(default_factory=dict)
    hedgeable: dict[int, Call] = dataclasses.field(default_factory=dict)
    # Keys of calls that are not idempotent, by the calls' identifiers.
    keys: dict[int, int] = dataclasses.field(default_factory=dict)


class LinkServer:
    """Server end of the links from all peers.

    Args:
        address: Address to listen on.
        make_hello: Returns this node's handshake message to a peer.
        serve_call: Serves one call; its second argument is whether the peer
            sent it before. Cancelled when the caller cancels the call or, with
            message ``LINK_LOST``, when the link is lost.
        release_reply: Called with the key of a call that is not idempotent
            when the peer has its reply or does not want it any more.
        serve_query: Serves a request that this node may own; cancelled as
            ``serve_call`` is.
        get_status: Returns the state of this node's target.
        get_load: Returns the numbers of calls running at and queued for the
            target.
        get_config: Returns the fleet configuration, unparsed; None if this
            node has none yet.
        list_notices: Returns the notices that a newly linked peer must know.
        on_hello: Called with each handshake message from a peer.
        partition: Simulated network partition of this node.
        budget: Bytes of bodies that the process may hold; the links count in
            it what waits to be sent and what has been received in part.

    Attributes:
        lend_tokens: Returns the answer to a request for tokens of teams, or
            None if none is wanted; set by ``DaemonCore``. Until then it says
            that this node knows of no allocator.
    """

    def __init__(
        self,
        address: Address,
        make_hello: Callable[[str], Hello],
        serve_call: Callable[[Call, bool], Awaitable[Reply]],
        release_reply: Callable[[int], None],
        serve_query: Callable[[OwnerQuery], Awaitable[Reply]],
        get_status: Callable[[], TargetStatus],
        get_load: Callable[[], tuple[float, ...]],
        get_config: Callable[[], ConfigDocument | None],
        list_notices: Callable[[], Iterable[CrashNotice]],
        on_hello: Callable[[Hello], None],
        partition: Partition,
        budget: ByteBudget,
    ):
        self._listener = Listener(address)
        self._make_hello = make_hello
        self._serve_call = serve_call
        self._release_reply = release_reply
        self._serve_query = serve_query
        self._partition = partition
        self._budget = budget
        self._get_status = get_status
        self._get_load = get_load
        self._get_config = get_config
        self._list_notices = list_notices
        self._on_hello = on_hello
        self._sessions: dict[LinkProtocol, _Session] = {}
        self._server: asyncio.Server | None = None
        self._is_closing = False
        self.lend_tokens: Callable[
            [CapRequest], CapGrant | CapHolder | None
        ] = _lend_nothing

    @property
    def calls_in_progress(self) -> int:
        """Number of calls and queries from peers without a reply yet.

        A link whose peer has yet to take a reply counts as one.
        """
        return sum(
            len(s.tasks) + s.link.has_untaken_reply
            for s in self._sessions.values()
        )

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def bind(self) -> None:
        """Bind the address; connections are refused until ``start``.

        Raises:
            OSError: The address could not be had, see ``Listener``.
        """
        await self._listener.bind()

    async def start(self) -> None:
        """Start listening for connections.

        Raises:
            OSError: The server cannot listen on the address.
        """
        self._server = await self._listener.listen(
            lambda: LinkProtocol(
                self._add_session,
                self._handle_message,
                self._remove_session,
                self._budget,
                first_frame_bytes_max=HELLO_BYTES_MAX,
            ),
            BACKLOG,
        )

    async def close(self, linger_max_s: float = LINGER_MAX_S) -> None:
        """Stop listening, end all calls and close all connections.

        Calls in progress get a reply that the outcome is unknown. Links are
        closed when their peers have taken the last replies.

        Args:
            linger_max_s: Time after which links are aborted whatever their
                peers have taken, in seconds.
        """
        began_at = read_now()
        self._is_closing = True
        self._listener.close()
        if self._server is not None:
            self._server.close()
        for session in tuple(self._sessions.values()):
            with log_errors("end_calls"):
                self._end_calls(session)
            with log_errors("close_sending"):
                session.link.close_sending()
        while self._must_linger(read_now() - began_at, linger_max_s):
            await asyncio.sleep(_POLL_S)
        for link in tuple(self._sessions):
            link.abort()

    def broadcast(self, message: Message, only_in_zone: str = "") -> None:
        """Send a message to all peers that have completed the handshake.

        Args:
            message: The message.
            only_in_zone: Zone of the peers to send it to; empty for all.
        """
        payload = encode(message)
        for link, session in tuple(self._sessions.items()):
            peer = session.peer
            if peer is not None and only_in_zone in (
                "",
                peer.availability_zone,
            ):
                link.send_payload(payload)

    def hedge(self, call: Call) -> None:
        """Ask the sender of a call to have it run elsewhere too.

        Args:
            call: Call in progress; one that is not a peer's is ignored.
        """
        for link, session in self._sessions.items():
            for call_id, other in session.hedgeable.items():
                if other is call:
                    link.send(HedgeRequest(call_id))
                    return

    def _must_linger(self, elapsed_s: float, linger_max_s: float) -> bool:
        """Return whether peers may still take what they are owed."""
        if elapsed_s >= linger_max_s or not self._sessions:
            return False
        return elapsed_s < LINGER_S or any(
            link.has_untaken_reply for link in self._sessions
        )

    def _add_session(self, link: LinkProtocol) -> None:
        self._sessions[link] = _Session(link)

    def _handle_message(self, link: LinkProtocol, message: Message) -> None:
        session = self._sessions.get(link)
        if session is None or self._is_closing:
            return
        match message:
            case Hello():
                hello = self._make_hello(message.node_id)
                session.peer = message
                link.attach_partition(self._partition, message.host)
                link.send(hello)
                if message.availability_zone != hello.availability_zone:
                    link.enable_compression()
                link.send(self._get_status())
                # Shows the clock again, as the first message may be read late.
                loop = asyncio.get_running_loop()
                loop.call_later(
                    SECOND_STATUS_S, lambda: link.send(self._get_status())
                )
                for notice in self._list_notices():
                    link.send(notice)
                self._on_hello(message)
            case CallFrame():
                self._remember_key(session, message)
                if message.call.is_hedgeable:
                    session.hedgeable[message.call_id] = message.call
                pending_reply = self._serve_call(
                    message.call, message.is_resent
                )
                self._start_reply_task(session, message.call_id, pending_reply)
            case OwnerQueryFrame():
                pending_reply = self._serve_query(message.query)
                self._start_reply_task(session, message.call_id, pending_reply)
            case Cancel():
                # A task that has not begun does not do it.
                session.hedgeable.pop(message.call_id, None)
                task = session.tasks.pop(message.call_id, None)
                if task is not None:
                    task.cancel()
                key = session.keys.pop(message.call_id, None)
                if key is not None:
                    self._release_reply(key)
            case ConfigRequest() | CapRequest():
                self._answer_request(link, message)
            case _:
                kind = type(message).__name__
                log_event("link_message_unexpected", kind=kind)

    def _remember_key(self, session: _Session, frame: CallFrame) -> None:
        if frame.call.is_idempotent:
            return
        session.keys[frame.call_id] = frame.call.key
        if len(session.keys) > KEYS_MAX:
            del session.keys[next(iter(session.keys))]

    def _send_config(self, link: LinkProtocol, request: ConfigRequest) -> None:
        document = self._get_config()
        if document is not None and document.version > request.after_version:
            link.send(document)

    def _answer_request(
        self, link: LinkProtocol, request: ConfigRequest | CapRequest
    ) -> None:
        if isinstance(request, ConfigRequest):
            self._send_config(link, request)
            return
        answer = self.lend_tokens(request)
        if answer is not None:
            link.send(answer)

    def _start_reply_task(
        self, session: _Session, call_id: int, pending_reply: Awaitable[Reply]
    ) -> None:
        loop = asyncio.get_running_loop()
        session.tasks[call_id] = loop.create_task(
            self._send_reply(session, call_id, pending_reply)
        )

    async def _send_reply(
        self, session: _Session, call_id: int, pending_reply: Awaitable[Reply]
    ) -> None:
        try:
            reply = await pending_reply
        except Exception as error:  # pylint: disable=broad-exception-caught
            # An internal error must not leave the peer without a reply.
            log_event(
                "call_handler_failed",
                Level.ERROR,
                peer=session.peer.node_id if session.peer else "",
                error=f"{type(error).__name__}: {error}",
            )
            reply = Reply(Outcome.UNKNOWN, codes.OUTCOME_UNKNOWN)
        finally:
            session.tasks.pop(call_id, None)
            session.hedgeable.pop(call_id, None)
        self._reply(session, call_id, reply)

    def _reply(self, session: _Session, call_id: int, reply: Reply) -> None:
        load = self._get_load()
        session.link.send_reply(
            ReplyFrame(call_id, load[0], load[1], reply, *load[2:])
        )

    def _end_calls(self, session: _Session) -> None:
        """Reply to all calls and queries in progress, and cancel them."""
        reply = Reply(Outcome.UNKNOWN, codes.NODE_STOPPING)
        for call_id in sorted(session.tasks):
            self._reply(session, call_id, reply)
        for task in tuple(session.tasks.values()):
            task.cancel(LINK_LOST)

    def _remove_session(self, link: LinkProtocol) -> None:
        session = self._sessions.pop(link, None)
        if session is None:
            return
        for task in tuple(session.tasks.values()):
            task.cancel(LINK_LOST)


def _lend_nothing(request: CapRequest) -> CapHolder:
    return CapHolder(request.request_id, "")
