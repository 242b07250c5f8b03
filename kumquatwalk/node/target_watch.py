"""What the target on this VM announces, and what follows from it."""

import dataclasses
import json
import threading

from kumquatwalk.admission.gate import AdmissionGate
from kumquatwalk.exception import RequestError
from kumquatwalk.gateway.target import TargetClient
from kumquatwalk.logs import Level
from kumquatwalk.logs import log_event
from kumquatwalk.membership.member import TargetInfo
from kumquatwalk.membership.member import TargetState
from kumquatwalk.membership.service import Membership
from kumquatwalk.node.runner import Runner

__all__ = ["TargetWatch"]

_STATES = {
    "warming": TargetState.WARMING,
    "ready": TargetState.READY,
    "draining": TargetState.DRAINING,
}
_SILENCE_S = 2.0
_SLOTS_MAX = 100_000
_PORT_MAX = 65535
_SERVICE_CHARS_MAX = 64


class TargetWatch:
    """Takes the target's announcements.

    Args:
        host: Loopback address of the target.
        admission: Admission at the target.
        runner: Runs calls at the target.
        membership: Told of what is announced.
        body_bytes_max: Longest body accepted in an answer.
    """

    def __init__(
        self,
        host: str,
        admission: AdmissionGate,
        runner: Runner,
        membership: Membership,
        body_bytes_max: int,
    ):
        self._host = host
        self._admission = admission
        self._runner = runner
        self._membership = membership
        self._body_bytes_max = body_bytes_max
        self._lock = threading.Lock()
        self._info = TargetInfo()
        self._client: TargetClient | None = None
        self._is_leaving = False
        self._announced_at = 0.0
        runner.watch_absence(self.note_absent)

    @property
    def info(self) -> TargetInfo:
        """What the target announced last."""
        return self._info

    def announce(self, body: bytes, now: float) -> None:
        """Take one announcement.

        Args:
            body: JSON document.
            now: Present time.

        Raises:
            RequestError: The document is malformed; nothing was changed.
        """
        info, port = parse_announcement(body)
        with self._lock:
            self._announced_at = now
            if self._is_leaving:
                info = dataclasses.replace(info, state=TargetState.DRAINING)
            if self._client is None or self._client.port != port:
                self._client = TargetClient(
                    self._host, port, self._body_bytes_max
                )
            self._runner.attach(info.service, self._client)
            if info == self._info:
                return
            self._info = info
            self._admission.set_target(info, now)
            self._membership.publish(info)
        log_event(
            "target_announced",
            service=info.service,
            state=info.state.name.lower(),
            slots=info.slots,
        )

    def note_absent(self) -> None:
        """Publish that the target cannot be reached, until it announces."""
        with self._lock:
            if self._info.state is TargetState.ABSENT:
                return
            absent = TargetState.ABSENT
            self._info = dataclasses.replace(self._info, state=absent)
            self._membership.publish(self._info)
        log_event("target_absent", Level.WARNING)

    def check(self, now: float) -> None:
        """Find out whether a target that has fallen silent is still there.

        Args:
            now: Present time.
        """
        client = self._client
        is_silent = now - self._announced_at > _SILENCE_S
        if client is None or not is_silent or client.probe():
            return
        self.note_absent()

    def leave(self, now: float) -> None:
        """Announce from now on that the target is leaving."""
        with self._lock:
            self._is_leaving = True
            draining = TargetState.DRAINING
            self._info = dataclasses.replace(self._info, state=draining)
            self._admission.set_target(self._info, now)
            self._membership.publish(self._info)


def parse_announcement(body: bytes) -> tuple[TargetInfo, int]:
    """Return what a target announces and its port.

    Args:
        body: JSON document with ``service``, ``slots``, ``connections``,
            ``port`` and ``state``; other fields are hints that are not used.

    Raises:
        RequestError: The document is malformed.
    """
    try:
        document = json.loads(body)
        info = TargetInfo(
            service=_check_service(document["service"]),
            slots=_check_number(document["slots"], _SLOTS_MAX),
            connections=_check_number(document["connections"], _SLOTS_MAX),
            state=_STATES[document["state"]],
        )
        port = _check_number(document["port"], _PORT_MAX)
    except (KeyError, TypeError, ValueError) as error:
        raise RequestError(
            "announcement_malformed", f"bad or missing field: {error}"
        ) from error
    return info, port


def _check_service(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= _SERVICE_CHARS_MAX:
        raise ValueError("service")
    return value


def _check_number(value: object, most: int) -> int:
    if not isinstance(value, int) or not 1 <= value <= most:
        raise ValueError(str(value))
    return value
