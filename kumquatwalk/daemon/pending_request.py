"""State of a request while it is served."""

import asyncio
import dataclasses

from kumquatwalk.clock import read_now
from kumquatwalk.config.route import Route
from kumquatwalk.daemon.caller_request import CallerRequest
from kumquatwalk.daemon.chain import ChainContext
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome
from kumquatwalk.quarantine import RequestContent
from kumquatwalk.routing.rank import combine_ranks

__all__ = ["PendingRequest"]


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """Request with the progress of its attempts.

    Attributes:
        http: HTTP request as received.
        caller: Fields decoded from its headers.
        route: Route that it matched.
        service: Service chosen to run it.
        deadline: Time by which it must be answered, in seconds.
        is_returning: Whether it is taken for a caller's retry.
        chain: Context of its call chain; None when it is not known.
        tried_nodes: Identifiers of the nodes that attempts were sent to and
            that are not to be tried again. A node whose link has reconnected
            is removed when the request is retried there.
        refused_nodes: Those of them that have refused it.
        last_node: Identifier of the node of the last attempt; empty before it.
        is_in_flight: Whether an attempt has been passed on and has no reply.
        attempts_at_targets: Number of attempts that have reached a target.
        refusals_by_targets: Number of those that the targets refused as not
            run.
        runs_possible: Number of attempts that ran or may have run, late replies
            aside.
        last_run: Reply to the last attempt that ran or may have run.
        last_refusal: Reply to the last attempt that was refused.
        late_replies: Replies that may still come to attempts whose link has
            gone silent or that are hedged.
        has_awaited_link: Whether it has waited for the link to its only target,
            on which its call had not left.
        crash_marks: Marks of target crashes during its attempts.
        content: Content by which its repeats are recognized.
    """

    http: HttpRequest
    caller: CallerRequest
    route: Route
    service: str
    deadline: float
    is_returning: bool
    chain: ChainContext | None = None
    tried_nodes: set[str] = dataclasses.field(default_factory=set)
    refused_nodes: set[str] = dataclasses.field(default_factory=set)
    last_node: str = ""
    is_in_flight: bool = False
    attempts_at_targets: int = 0
    refusals_by_targets: int = 0
    runs_possible: int = 0
    last_run: Reply | None = None
    last_refusal: Reply | None = None
    late_replies: list[asyncio.Future[Reply]] = dataclasses.field(
        default_factory=list
    )
    has_awaited_link: bool = False
    crash_marks: bytes = b""
    content: RequestContent = dataclasses.field(init=False)

    def __post_init__(self):
        http = self.http
        self.content = RequestContent(
            self.route.name, http.method, http.url, http.body
        )

    @property
    def has_answer_in_hand(self) -> bool:
        """Whether a target's answer only waits for a better one."""
        run = self.last_run
        return (
            not self.is_in_flight
            and run is not None
            and run.outcome is Outcome.DONE
        )

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt has run, or may run or have run."""
        return self.is_in_flight or self.last_run is not None

    @property
    def is_over(self) -> bool:
        """Whether its deadline has passed."""
        return read_now() >= self.deadline

    @property
    def is_nested(self) -> bool:
        """Whether it is a call of a run in progress."""
        return self.chain is not None and self.chain.depth > 0

    @property
    def rank(self) -> int:
        """Priority under overload; 0 is the highest."""
        team = self.caller.team
        if team is None:
            return self.own_rank
        return combine_ranks(team.rank, self.own_rank)

    @property
    def team_name(self) -> str:
        """Name of the team that sent it; empty if it has none."""
        team = self.caller.team
        return "" if team is None else team.name

    @property
    def own_rank(self) -> int:
        """Priority among the requests of its team; 0 is the highest."""
        return self.route.rank if self.chain is None else self.chain.rank
