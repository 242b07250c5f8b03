"""Faults that can be injected into the simulated store."""

import dataclasses
import json

from kumquatwalk.exception import SettingError

__all__ = ["StoreFaults", "parse_faults"]

MAX_DELAY_MS = 60_000
MAX_LOST_ANSWERS = 1_000_000
MAX_CUT_HOSTS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFaults:
    """Injected faults; the defaults inject none.

    Attributes:
        outage: Whether every connection is aborted without a response.
        delay_ms: Delay before each call is processed, in milliseconds.
        lose_answers: Number of following successful writes that take effect
            but whose connections are aborted before the response.
        stale_reads: Whether reads of a key return its previous value if there
            is one.
        cut_hosts: Prefixes of client IP addresses whose connections are
            aborted.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    stale_reads: bool = False
    cut_hosts: tuple[str, ...] = ()


def parse_faults(body: bytes) -> StoreFaults:
    """Parse faults from a JSON object.

    Missing fields take their default.

    Args:
        body: JSON object keyed by the attributes of `StoreFaults`.

    Raises:
        SettingError: The object is malformed, or a value has the wrong type or
            is out of range (code ``faults_invalid``).
    """
    try:
        document = json.loads(body)
        faults = StoreFaults(**document)
    except (ValueError, TypeError) as error:
        raise SettingError("faults_invalid", str(error)) from error
    if isinstance(faults.cut_hosts, list):
        hosts = tuple(faults.cut_hosts)
        faults = dataclasses.replace(faults, cut_hosts=hosts)
    if not _is_valid(faults):
        raise SettingError(
            "faults_invalid", "a field has the wrong type or is out of range"
        )
    return faults


def _is_valid(faults: StoreFaults) -> bool:
    return (
        isinstance(faults.outage, bool)
        and isinstance(faults.stale_reads, bool)
        and _is_int_within(faults.delay_ms, MAX_DELAY_MS)
        and _is_int_within(faults.lose_answers, MAX_LOST_ANSWERS)
        and isinstance(faults.cut_hosts, tuple)
        and len(faults.cut_hosts) <= MAX_CUT_HOSTS
        and all(isinstance(host, str) and host for host in faults.cut_hosts)
    )


def _is_int_within(value: object, maximum: int) -> bool:
    is_int = isinstance(value, int) and not isinstance(value, bool)
    return is_int and 0 <= value <= maximum
