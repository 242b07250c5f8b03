"""One request to the target and the classification of its result."""

import asyncio
import dataclasses
import enum

from kumquatwalk import codes
from kumquatwalk.clock import read_now
from kumquatwalk.daemon.external_interface import ExternalInterface
from kumquatwalk.exception import ExchangeError
from kumquatwalk.http1.client_connection import STATUS_INVALID
from kumquatwalk.http1.encoder import encode_request
from kumquatwalk.http1.message import Header
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.response_match import ResponseMatch
from kumquatwalk.http1.response_match import Verification
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome
from kumquatwalk.quarantine import RequestContent
from kumquatwalk.quarantine import abbreviate
from kumquatwalk.targets.response import ResponseCheck
from kumquatwalk.targets.client import TargetClient

__all__ = ["ExchangeResult", "Finding", "make_content", "run_call"]


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeResult:
    """Result of one exchange with the target.

    Attributes:
        reply: Reply with the outcome. The outcome is unknown when the call was
            sent but its deadline passed, or its answer was lost or incomplete.
        finding: What the exchange shows about the target.
        check: What the target's own response says; None without one.
    """

    reply: Reply
    finding: "Finding"
    check: ResponseCheck | None = None


class Finding(enum.Enum):
    """What an exchange shows about the state of the target."""

    SOUND = "sound"
    LATE = "late"
    FAILED = "failed"
    CONNECTION_LOST = "connection_lost"
    SHED = "shed"
    REPLACED = "replaced"
    UNREACHABLE = "unreachable"


async def run_call(
    client: TargetClient,
    interface: ExternalInterface,
    target_id: str,
    run_id: str,
    call: Call,
    timeout: asyncio.Timeout,
    target_deadline: float,
    health_check: bytes = b"",
) -> ExchangeResult:
    """Send a call to the target and wait for its answer.

    Args:
        client: Client of the target.
        interface: Encodes the request and decodes the answer.
        target_id: Identifier of the target; any other process at the address
            must refuse the call.
        run_id: Identifier of the run, by which nested calls are attributed.
        call: Call to send, with its deadline on this node's clock.
        timeout: Timeout of the run.
        target_deadline: Time by which the target has to stop work, in seconds;
            the deadline of the call or, during a stop, earlier.
        health_check: Encoded health check of the target, which verifies
            responses that name no request; empty if none is known.

    Returns:
        The result, whether the exchange succeeded or not.
    """
    remaining_s = target_deadline - read_now()
    headers = interface.make_target_headers(
        call, target_id, run_id, remaining_s
    )
    progress = _Progress(interface, call)
    data = encode_request(call.method, call.url, headers, call.body)
    try:
        async with timeout:
            response = await client.exchange(
                data,
                call.method == b"HEAD",
                call.is_idempotent,
                progress.match,
                progress.note_sending,
                progress.make_verification(health_check),
            )
    except TimeoutError:
        # Without a connection to the target nothing has been sent.
        outcome = Outcome.UNKNOWN if progress.is_sent else Outcome.NOT_RUN
        reply = Reply(outcome, codes.DEADLINE_EXCEEDED)
        return ExchangeResult(reply, Finding.LATE)
    except ExchangeError as error:
        return _classify_error(call, error)
    headers = interface.list_response_headers(response, call.attempt_id)
    return ExchangeResult(
        *_classify_response(call, response, progress.check, headers),
        progress.check,
    )


class _Progress:
    """How far an exchange has come."""

    def __init__(self, interface: ExternalInterface, call: Call):
        self._interface = interface
        self._call = call
        self.is_sent = False
        # Of the first response that names no request, until one names this.
        self.check: ResponseCheck | None = None

    def note_sending(self) -> None:
        """Note that the target may get the request from now on."""
        self.is_sent = True

    def match(self, response: HttpResponse) -> ResponseMatch:
        """Return which request a response names, and keep what it says."""
        check = self._interface.decode_response(response, self._call.attempt_id)
        if check.match is ResponseMatch.OWN:
            if self.check is not None:
                log_event(
                    "repeated_answer_skipped",
                    attempt=self._call.attempt_id.decode("latin-1"),
                    was_not_run=self.check.was_not_run,
                )
            self.check = check
        elif check.match is ResponseMatch.UNNAMED and self.check is None:
            self.check = check
        return check.match

    def make_verification(self, health_check: bytes) -> Verification | None:
        """Return how to verify responses that name no request, if possible."""
        if not health_check or self._call.method == b"HEAD":
            return None
        return Verification(
            health_check, self._needs_verification, self._is_health_answer
        )

    def _needs_verification(self, _response: HttpResponse) -> bool:
        """Return whether a mistake about the response would do harm.

        If an idempotent call is taken for refused, it runs once more.
        """
        is_refusal = self.check.was_not_run and not self.check.is_replaced
        return not (self._call.is_idempotent and is_refusal)

    def _is_health_answer(self, response: HttpResponse) -> bool:
        return self._interface.is_health_answer(response)


def make_content(call: Call) -> RequestContent:
    """Return the content of a call, the same for all its repeats.

    Args:
        call: Call of any caller.
    """
    return RequestContent(call.route, call.method, call.url, call.body)


def _classify_error(call: Call, error: ExchangeError) -> ExchangeResult:
    log_event(
        "target_exchange_failed",
        attempt=call.attempt_id.decode("latin-1"),
        code=error.code,
        error=error.message,
        sent=error.sent,
        content=abbreviate(make_content(call).fingerprint),
    )
    if error.code == STATUS_INVALID:
        reply = Reply(Outcome.UNKNOWN, codes.ANSWER_SPOILED)
        return ExchangeResult(reply, Finding.FAILED)
    if error.sent:
        reply = Reply(Outcome.UNKNOWN, codes.TARGET_FAILED)
        is_lost = error.code == "connection_lost"
        return ExchangeResult(
            reply, Finding.CONNECTION_LOST if is_lost else Finding.FAILED
        )
    reply = Reply(Outcome.NOT_RUN, codes.TARGET_UNREACHABLE)
    return ExchangeResult(reply, Finding.UNREACHABLE)


def _classify_response(
    call: Call,
    response: HttpResponse,
    check: ResponseCheck,
    headers: tuple[Header, ...],
) -> tuple[Reply, Finding]:
    if check.is_replaced:
        reply = Reply(Outcome.NOT_RUN, codes.TARGET_REPLACED)
        return reply, Finding.REPLACED
    if check.was_not_run:
        reply = Reply(Outcome.NOT_RUN, codes.TARGET_SHED, shed_by_target=True)
        is_full = response.status in (429, 503)
        return reply, Finding.SHED if is_full else Finding.SOUND
    if not check.is_complete:
        log_event(
            "answer_spoiled",
            attempt=call.attempt_id.decode("latin-1"),
            status=response.status,
        )
        return Reply(Outcome.UNKNOWN, codes.ANSWER_SPOILED), Finding.FAILED
    reply = Reply(
        Outcome.DONE,
        status=response.status,
        headers=headers,
        body=response.body,
    )
    return reply, Finding.FAILED if response.status >= 500 else Finding.SOUND
