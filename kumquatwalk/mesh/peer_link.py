"""Client end of a link: reconnects to one peer and sends calls to it."""

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable

from kumquatwalk import codes
from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.event_loop import limit_time
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.sockets import USER_TIMEOUT_MS
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.callbacks import PeerCallbacks
from kumquatwalk.mesh.clock_offset import ClockOffset
from kumquatwalk.mesh.late_calls import LateCalls
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
from kumquatwalk.mesh.silent_link import SilentLink
from kumquatwalk.outcome import Outcome
from kumquatwalk.routing.call_graph import TrafficReport
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.tasks import keep_running

__all__ = ["PeerLink"]

# Timeout for connecting, and then for the peer's first message, in seconds.
CONNECT_TIMEOUT_S = 1.0
# Bounds of the exponential backoff between connection attempts, in seconds.
# The upper bound is also about how long a recovered node stays unused.
RECONNECT_DELAY_MIN_S = 0.05
RECONNECT_DELAY_MAX_S = 0.8
# Time without received data after which a link is replaced, in seconds: the
# interval of a peer's status and a delay.
RECEIVE_TIMEOUT_S = 1.6
# Time for which a silent connection is kept once the peer has answered on a new
# one, in seconds: for so long the peer's TCP sends again what has been lost.
SILENT_LINGER_S = USER_TIMEOUT_MS / 1000.0


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    request: Call | OwnerQuery
    reply: asyncio.Future
    # Position of its end in the stream of the present connection.
    end: int = 0
    # Whether it may have left this process on a connection before.
    may_have_left: bool = False

    @property
    def fails_on_disconnect(self) -> bool:
        """Whether to fail on disconnect rather than send again."""
        is_call = isinstance(self.request, Call)
        return not is_call or self.request.is_idempotent


class PeerLink:
    """Client end of the link to one peer.

    Idempotent calls and owner queries fail when the connection is lost. When it
    is replaced because the peer is silent, replies to such calls may still come
    on it, see ``find_late_reply``. A call that is not idempotent stays pending:
    it is sent again on the next connection to the same process, which knows
    whether the call has run. Its reply may come on either connection. It is not
    sent to another process at the address: its reply may then still come on the
    silent connection, or the call fails with it.

    Args:
        address: Address at which the peer accepts links.
        view: State of the peer's target as seen by this node; updated here.
        make_hello: Returns this node's handshake message to a peer.
        callbacks: Functions called with messages from the peer.
        partition: Simulated network partition of this node.
        budget: Bytes of bodies that the process may hold; None not to count.
        is_memory_short: Returns whether large replies are read only slowly.

    Attributes:
        address: Address at which the peer accepts links.
        view: State of the peer's target as seen by this node.
        incarnation: Incarnation of the peer's process; 0 before the first
            handshake.
        unusable_since: Time at which the connection was last lost, or at which
            the link was started, in seconds.
    """

    def __init__(
        self,
        address: Address,
        view: TargetView,
        make_hello: Callable[[str], Hello],
        callbacks: PeerCallbacks,
        partition: Partition,
        budget: ByteBudget | None = None,
        is_memory_short: Callable[[], bool] = lambda: False,
    ):
        self.address = address
        self.view = view
        self.incarnation = 0
        self.unusable_since = read_now()
        self._make_hello = make_hello
        self._callbacks = callbacks
        self._partition = partition
        self._budget = budget
        self._is_memory_short = is_memory_short
        self._link: LinkProtocol | None = None
        # Calls on the connection that the peer has asked to hedge.
        self._late: LateCalls | None = None
        self._clock_offset = ClockOffset()
        self._own_zone = ""
        self._takes_cap_requests = False
        self._pending: dict[int, _PendingRequest] = {}
        self._last_call_id = 0
        self._reconnect_pause_s = 0.0
        self._is_silent = False
        # Those that are closed stay until their connections are lost.
        self._silent_links: list[SilentLink] = []
        # Time at which the handshake message was sent.
        self._asked_at = 0.0
        self._linked_at = 0.0
        self._link_lost = asyncio.Event()
        self._handshake_done = asyncio.Event()
        self._task: asyncio.Task | None = None

    @property
    def is_usable(self) -> bool:
        """Whether a call can be sent now.

        The time since the last received data is checked here too, so that a
        process resumed after a freeze does not send calls over stale links.
        """
        return self.can_send(read_now())

    @property
    def is_idle(self) -> bool:
        """Whether no request waits for a reply."""
        return not (
            self._pending
            or self._late
            or any(silent.is_needed for silent in self._silent_links)
        )

    @property
    def has_connection_with_calls(self) -> bool:
        """Whether a reply may still come on a connection that is open."""
        if self._link is not None and (self._pending or self._late):
            return True
        return any(silent.is_needed for silent in self._silent_links)

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the peer has sent what this process has not read yet."""
        return self._link is not None and self._link.has_unread_bytes

    def measure_silence(self, now: float) -> float:
        """Return for how long nothing has come on the connection, in seconds.

        Args:
            now: Current time, in seconds.

        Returns:
            The time; infinite without a connection.
        """
        if self._link is None:
            return math.inf
        return now - self._link.last_received_at

    def can_send(self, now: float) -> bool:
        """Return whether a call can be sent; see ``is_usable``.

        Args:
            now: Current time, in seconds.
        """
        link = self._link
        return (
            link is not None
            and now - link.last_received_at < RECEIVE_TIMEOUT_S
            and self._handshake_done.is_set()
            and not link.is_congested
        )

    def start(self) -> None:
        """Start connecting in the background."""
        self._task = keep_running(self._run, "peer_link")

    def close(self) -> None:
        """Close the link for good and fail all pending requests."""
        if self._task is not None:
            self._task.cancel()
        if self._link is not None:
            self._link.abort()
            self._note_unsent(self._link)
        if self._late is not None:
            self._late.fail_all()
        self._close_silent_links()
        self._fail_pending(lambda _: True)
        self.view.is_reachable = False

    def reconnect(self) -> None:
        """Abort the connection; the link then reconnects."""
        if self._link is not None:
            self._link.abort()

    def disconnect_for(self, pause_s: float) -> None:
        """Abort the connection and delay the next connection attempt.

        Args:
            pause_s: Minimum time before reconnecting, in seconds.
        """
        self._reconnect_pause_s = pause_s
        self.reconnect()

    def reset_if_silent(self, now: float) -> None:
        """Replace the connection if its receive timeout has passed.

        Called for all links at a short interval: one timer for each of them
        would wake the process as often as their messages do.

        Args:
            now: Current time, in seconds.
        """
        self._end_silent_links(now)
        if not self._handshake_done.is_set() or self._link is None:
            return
        silent_s = now - self._link.last_received_at
        if silent_s <= RECEIVE_TIMEOUT_S or self._link_lost.is_set():
            return
        # Where bytes wait, it is this process that was not scheduled.
        if not self._link.has_unread_bytes:
            log_event("link_silent", peer=self.view.node_id, silent_s=silent_s)
            self._is_silent = True
            self._link_lost.set()

    def find_late_reply(self, call: Call) -> asyncio.Future[Reply] | None:
        """Return the reply that may still come to a call that has failed.

        Its connection has gone silent, and the peer may only not have been
        scheduled; or the peer has asked to hedge the call. Cancelling the
        future cancels the call at the peer. Its result has code ``LINK_FAILED``
        once the reply cannot come any more.

        Args:
            call: Call to which ``call`` has returned an unknown outcome.

        Returns:
            The future reply; None if none can come.
        """
        late_calls = [silent.late for silent in self._silent_links]
        if self._late is not None:
            late_calls.append(self._late)
        found = (late.find(call) for late in late_calls if late)
        return next((late for late in found if late is not None), None)

    async def call(self, call: Call) -> Reply:
        """Send a call and wait for its reply.

        Cancelling the waiting task sends a cancellation to the peer.

        Args:
            call: The call, with its deadline in this node's clock.

        Returns:
            The reply. With code ``LINK_FAILED``, its outcome is NOT_RUN if the
            link was not usable and nothing was sent, and UNKNOWN if the link
            failed later. Nothing is sent either while the link is paused: the
            reply would come too late.
        """
        if self._link is not None and self._link.is_paused:
            return Reply(Outcome.NOT_RUN, codes.LINK_FAILED)
        self.view.in_flight += 1
        try:
            return await self._exchange(call)
        finally:
            self.view.in_flight -= 1

    async def wait_until_usable(self, timeout_s: float) -> bool:
        """Wait for the handshake and return whether a call can be sent.

        Args:
            timeout_s: Maximum time to wait, in seconds.

        Returns:
            Whether the link is usable now.
        """
        if not self._handshake_done.is_set():
            try:
                async with limit_time(timeout_s):
                    await self._handshake_done.wait()
            except TimeoutError:
                return False
        return self.is_usable

    async def query_owner(self, query: OwnerQuery) -> Reply:
        """Forward a request to the peer that owns it and wait for its reply.

        Args:
            query: The request, with its deadline in this node's clock.

        Returns:
            The owner's reply. With code ``LINK_FAILED``, its outcome is
            NOT_RUN if the link was not usable and nothing was sent, and
            UNKNOWN if the link failed later.
        """
        return await self._exchange(query)

    async def _exchange(self, request: Call | OwnerQuery) -> Reply:
        if not self.is_usable:
            return Reply(Outcome.NOT_RUN, codes.LINK_FAILED)
        self._last_call_id = (self._last_call_id + 1) & 0xFFFFFFFF
        call_id = self._last_call_id
        future = asyncio.get_running_loop().create_future()
        self._pending[call_id] = _PendingRequest(request, future)
        self._send_request(call_id, request, is_resent=False)
        try:
            return await future
        except asyncio.CancelledError:
            late = self.find_late_reply(request)
            if late is not None:
                # Nobody waits for it, as its sender does not know of it yet.
                late.cancel()
            elif call_id in self._pending and self._link is not None:
                self._link.send(Cancel(call_id))
            raise
        finally:
            self._pending.pop(call_id, None)

    def request_config(self, after_version: int) -> None:
        """Request the fleet configuration from the peer.

        The reply goes to ``PeerCallbacks.on_config``; no request is sent
        without a connection.

        Args:
            after_version: Version that this node has; the peer replies only
                with a newer one.
        """
        if self._link is not None:
            self._link.send(ConfigRequest(after_version))

    def request_tokens(self, request: CapRequest) -> bool:
        """Request tokens of teams from the peer.

        The answer goes to ``PeerCallbacks.on_caps``.

        Args:
            request: The request.

        Returns:
            Whether it was sent; not without a connection, or to a peer of an
            earlier release.
        """
        if self._link is None or not self._takes_cap_requests:
            return False
        self._link.send(request)
        return True

    def _send_request(
        self, call_id: int, request: Call | OwnerQuery, is_resent: bool
    ) -> None:
        self._send_frame(call_id, request, is_resent)
        self._pending[call_id].end = self._link.end

    def _send_frame(
        self, call_id: int, request: Call | OwnerQuery, is_resent: bool
    ) -> None:
        if isinstance(request, OwnerQuery):
            deadline = request.deadline + self._clock_offset.seconds
            remote_request = dataclasses.replace(request, deadline=deadline)
            self._link.send(OwnerQueryFrame(call_id, remote_request))
            return
        self._link.send(
            CallFrame(call_id, is_resent, request, self._clock_offset.seconds)
        )

    async def _run(self) -> None:
        self._disconnect()  # after an unexpected error, one may be open
        delay_s = RECONNECT_DELAY_MIN_S
        while True:
            if await self._connect():
                delay_s = RECONNECT_DELAY_MIN_S
                await self._link_lost.wait()
            self._disconnect()
            pause_s, self._reconnect_pause_s = self._reconnect_pause_s, 0.0
            jittered_delay_s = delay_s * random.uniform(0.6, 1.0)
            await asyncio.sleep(max(pause_s, jittered_delay_s))
            delay_s = min(RECONNECT_DELAY_MAX_S, 2.0 * delay_s)

    async def _connect(self) -> bool:
        loop = asyncio.get_running_loop()
        self._link_lost.clear()
        self._handshake_done.clear()
        try:
            # A timeout for each: the answer is awaited too if an own pause has
            # used up the time for connecting.
            async with limit_time(CONNECT_TIMEOUT_S):
                _, link = await loop.create_connection(
                    lambda: LinkProtocol(
                        _ignore,
                        self._handle_message,
                        self._on_link_lost,
                        self._budget,
                        self._is_memory_short,
                    ),
                    self.address.host,
                    self.address.port,
                )
            link.attach_partition(self._partition, self.address.host)
            self._link, self._late = link, LateCalls(link)
            hello = self._make_hello(self.view.node_id)
            self._own_zone = hello.availability_zone
            self._asked_at = read_now()
            link.send(hello)
            async with limit_time(CONNECT_TIMEOUT_S):
                await self._handshake_done.wait()
        except TimeoutError:
            # The peer may only not be scheduled. _run retries.
            return False
        except ConnectionRefusedError:
            # The process has ended, and with it its connections; its last
            # replies may still wait.
            for silent in self._silent_links:
                if not silent.is_alive:
                    silent.close()
            return False
        except OSError:
            # It may be this node's own fault and says nothing of the peer.
            return False
        return True

    def _disconnect(self) -> None:
        if self._handshake_done.is_set():
            self.unusable_since = read_now()
        self._handshake_done.clear()
        self.view.is_reachable = False
        link, self._link = self._link, None
        late, self._late = self._late, None
        is_silent, self._is_silent = self._is_silent, False
        if link is not None and is_silent:
            self._set_aside(link, late)
        elif link is not None:
            late.fail_all()
            link.abort()
            self._note_unsent(link)
        self._fail_pending(lambda p: p.fails_on_disconnect)

    def _note_unsent(self, link: LinkProtocol) -> None:
        """Note which requests may have left on a connection that has ended."""
        for pending in self._pending.values():
            pending.may_have_left |= link.may_have_left(pending.end)

    def _set_aside(self, link: LinkProtocol, late: LateCalls) -> None:
        """Keep a silent connection for replies that may still come on it."""
        silent = SilentLink(link, late, read_now())
        for call_id, pending in self._pending.items():
            pending.may_have_left = True
            if pending.reply.done() or not isinstance(pending.request, Call):
                continue
            if pending.fails_on_disconnect:
                late.add(call_id, pending.request)
            elif not self._is_left_behind(pending):
                silent.add_resent(call_id, pending.reply)
        if silent.is_needed:
            self._silent_links.append(silent)
        else:
            silent.close()

    def _end_silent_links(self, now: float) -> None:
        """Close silent connections on which no reply can come any more."""
        is_answering = (
            self._handshake_done.is_set()
            and now - self._linked_at > SILENT_LINGER_S
        )
        for silent in self._silent_links:
            if not silent.is_needed or (is_answering and not silent.is_alive):
                silent.close()

    def _close_silent_links(self) -> None:
        for silent in self._silent_links:
            silent.close()

    def _is_left_behind(self, pending: _PendingRequest) -> bool:
        """Return whether a reply can only come on a silent connection."""
        return any(
            silent.is_left_behind(pending.reply)
            for silent in self._silent_links
        )

    def _find_silent(self, link: LinkProtocol) -> SilentLink | None:
        return next((s for s in self._silent_links if s.link is link), None)

    def _fail_pending(
        self, should_fail: Callable[[_PendingRequest], bool]
    ) -> None:
        for pending in tuple(self._pending.values()):
            if should_fail(pending) and not pending.reply.done():
                # A second run of a call that is not idempotent costs more than
                # an unknown outcome, so for those the count is not relied on.
                request = pending.request
                is_idempotent = (
                    isinstance(request, Call) and request.is_idempotent
                )
                outcome = (
                    Outcome.NOT_RUN
                    if is_idempotent and not pending.may_have_left
                    else Outcome.UNKNOWN
                )
                pending.reply.set_result(Reply(outcome, codes.LINK_FAILED))

    def _on_link_lost(self, link: LinkProtocol) -> None:
        silent = self._find_silent(link)
        if silent is not None:
            self._silent_links.remove(silent)
            silent.close()
        elif link is self._link or self._link is None:
            self._link_lost.set()

    def _handle_message(self, link: LinkProtocol, message: Message) -> None:
        silent = self._find_silent(link)
        if silent is not None and isinstance(message, ReplyFrame):
            silent.resolve(message.call_id, message.reply)
        if silent or (link is not self._link and self._link is not None):
            return
        match message:
            case Hello():
                self._handle_hello(link, message)
            case ReplyFrame():
                self._handle_reply(message)
            case HedgeRequest():
                self._hedge(message.call_id)
            case TargetStatus():
                self._handle_status(message, read_now())
            case ConfigDocument():
                self._callbacks.on_config(message)
            case TrafficReport():
                self._callbacks.on_traffic(self.view, message)
            case CrashNotice():
                self._callbacks.on_crash(message)
            case CapGrant() | CapHolder():
                self._callbacks.on_caps(message)
            case _:
                kind = type(message).__name__
                log_event("link_message_unexpected", kind=kind)

    def _handle_hello(self, link: LinkProtocol, hello: Hello) -> None:
        if self._handshake_done.is_set():
            # The peer repeats it when its target announces a service.
            self.view.service = hello.service
        elif hello.node_id != self.view.node_id:
            # The address now belongs to another node.
            log_event(
                "peer_replaced", peer=self.view.node_id, found=hello.node_id
            )
            link.abort()
        else:
            # Traffic between availability zones is expensive; traffic within
            # one is not, so it is left uncompressed.
            if hello.availability_zone != self._own_zone:
                link.enable_compression()
            self._complete_handshake(hello)
            self._callbacks.on_hello(hello)

    def _handle_status(self, status: TargetStatus, now: float) -> None:
        sent_at = None
        if status.clock_s:
            self._clock_offset.observe(status.clock_s, now)
            sent_at = status.clock_s - self._clock_offset.seconds
        self.view.update_status(status, now, sent_at)
        self._callbacks.on_status(self.view, status)

    def _complete_handshake(self, hello: Hello) -> None:
        is_same_process = hello.incarnation == self.incarnation
        self.incarnation = hello.incarnation
        self._takes_cap_requests = hello.takes_cap_requests
        if not is_same_process:
            self._clock_offset.reset()
        now = read_now()
        self._clock_offset.observe_answer(hello.clock_s, self._asked_at, now)
        self.view.service = hello.service
        self.view.availability_zone = hello.availability_zone
        self.view.is_reachable = True
        self.view.updated_at = now
        self._linked_at = now
        if not is_same_process:
            # The last replies of the process before may still come.
            for silent in self._silent_links:
                silent.leave_behind()
            self._fail_pending(lambda p: not self._is_left_behind(p))
        self._handshake_done.set()
        for call_id, pending in tuple(self._pending.items()):
            if not (pending.reply.done() or self._is_left_behind(pending)):
                self._send_request(call_id, pending.request, is_resent=True)

    def _hedge(self, call_id: int) -> None:
        """Return an unknown outcome to a call, whose reply may come late."""
        pending = self._pending.get(call_id)
        if pending is None or pending.reply.done():
            return
        self._late.add(call_id, pending.request)
        pending.reply.set_result(Reply(Outcome.UNKNOWN, codes.NODE_STOPPING))

    def _handle_reply(self, frame: ReplyFrame) -> None:
        if self._late and frame.call_id in self._late:
            self._late.resolve(frame.call_id, frame.reply)
            return
        pending = self._pending.get(frame.call_id)
        if pending is None or pending.reply.done():
            return  # the caller was cancelled, or this is a duplicate reply
        view = self.view
        view.running = frame.running
        view.queued = frame.queued
        if frame.slowness or view.slowness:
            view.update_work(frame.work_left_s, frame.slowness, read_now())
        view.in_flight_reported = max(0, view.in_flight - 1)
        pending.reply.set_result(frame.reply)
        if not pending.fails_on_disconnect and frame.reply.status:
            # The peer keeps this reply until it hears that it has arrived.
            self._link.send(Cancel(frame.call_id))


def _ignore(_link: LinkProtocol) -> None:
    pass
