"""What a node has seen of all targets, kept in step with the membership."""

import random
import threading
from collections.abc import Iterable

from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.member import TargetState
from kumquatwalk.routing.candidates import NO_CANDIDATES
from kumquatwalk.routing.candidates import Candidates
from kumquatwalk.routing.choice import Choice
from kumquatwalk.routing.choice import choose_target
from kumquatwalk.routing.view import TargetView

__all__ = ["RouteTable"]

CLASS_MASK = ~255

_NONE_EXCLUDED: frozenset[str] = frozenset()


class RouteTable:
    """Views of all targets by service; safe to use from many threads.

    Readers take no lock: an update builds new candidates and swaps them in.

    Args:
        zone: Zone of this node.
        random_generator: Source of random draws.
    """

    def __init__(self, zone: str, random_generator: random.Random):
        self._zone = zone
        self._random = random_generator
        self._lock = threading.Lock()
        self._views: dict[tuple[str, int], TargetView] = {}
        self._services: dict[str, Candidates] = {}

    def update(self, members: Iterable[Member]) -> None:
        """Take a new list of members.

        A restarted node gets a new view; a view that stays keeps what it saw.

        Args:
            members: All members known, in any state.
        """
        with self._lock:
            views = [self._refresh(m) for m in members if _takes_calls(m)]
            self._views = {(v.node_id, v.member.incarnation): v for v in views}
            self._services = self._group(views)

    def get_candidates(self, service: str) -> Candidates:
        """Return the targets of a service that take calls.

        Args:
            service: Name of the service.

        Returns:
            The candidates; empty for an unknown service.
        """
        return self._services.get(service, NO_CANDIDATES)

    def count_targets(self, service: str) -> int:
        """Return how many targets of a service take calls.

        Args:
            service: Name of the service.

        Returns:
            Number of targets, also those of other zones and warming ones.
        """
        found = self.get_candidates(service)
        return len(found.local) + len(found.remote) + len(found.warming)

    def choose(
        self,
        service: str,
        priority: int,
        now: float,
        excluded: frozenset[str] = _NONE_EXCLUDED,
        depth: int = 0,
    ) -> Choice:
        """Choose the target for one attempt of a call.

        Args:
            service: Name of the service called.
            priority: Priority of the call.
            now: Present time.
            excluded: Node names of targets already tried for the call.
            depth: Depth of the call; one in progress is held back only by a
                level below its class, as at the gates.

        Returns:
            The choice; report the attempt to its view.
        """
        found = self.get_candidates(service)
        if depth > 0:
            priority &= CLASS_MASK
        return choose_target(found, priority, excluded, self._random, now)

    def _refresh(self, member: Member) -> TargetView:
        view = self._views.get((member.node_id, member.incarnation))
        if view is None:
            return TargetView(member)
        view.member = member
        return view

    def _group(self, views: list[TargetView]) -> dict[str, Candidates]:
        services = {v.member.target.service for v in views}
        return {name: self._split(name, views) for name in services}

    def _split(self, service: str, views: list[TargetView]) -> Candidates:
        of_service = [v for v in views if v.member.target.service == service]
        ready = [v for v in of_service if _is_ready(v)]
        return Candidates(
            local=tuple(v for v in ready if v.member.zone == self._zone),
            remote=tuple(v for v in ready if v.member.zone != self._zone),
            warming=tuple(v for v in of_service if not _is_ready(v)),
        )


def _takes_calls(member: Member) -> bool:
    if member.state in (MemberState.DEAD, MemberState.LEFT):
        return False
    return member.target.state in (TargetState.READY, TargetState.WARMING)


def _is_ready(view: TargetView) -> bool:
    return view.member.target.state is TargetState.READY
