"""Checkers of a history; each returns what breaks its rule."""

import collections
import dataclasses
from collections.abc import Collection, Mapping

from kumquatwalk.history.events import RunRecorded
from kumquatwalk.history.history import History

__all__ = [
    "Violation",
    "check_answers_whole",
    "check_at_most_once",
    "check_attempts_bounded",
    "check_no_work_after_leaving",
    "check_not_run",
]

NOT_RUN = "not_run"


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A place in a history that breaks a rule.

    Attributes:
        rule: Name of the rule.
        name: Tag, request or target concerned.
        detail: What was seen.
    """

    rule: str
    name: str
    detail: str


def check_at_most_once(
    history: History, entries: Collection[str]
) -> list[Violation]:
    """Check that each request ran each non-idempotent entry at most once.

    Args:
        history: History.
        entries: Entries that are not idempotent.
    """
    counts = collections.Counter(
        (_find_request(history, run), run.entry)
        for run in history.runs
        if run.entry in entries
    )
    return [
        Violation("at_most_once", request, f"{entry} ran {count} times")
        for (request, entry), count in counts.items()
        if count > 1
    ]


def check_not_run(history: History) -> list[Violation]:
    """Check that a sending answered as not run never ran, before or after."""
    runs = {run.tag: run for run in history.runs}
    return [
        Violation("not_run", tag, f"{answer.code}, yet {runs[tag].entry} ran")
        for tag, answer in history.answers.items()
        if answer.outcome == NOT_RUN and tag in runs
    ]


def check_attempts_bounded(
    history: History, calls: Mapping[str, int], tokens: Mapping[str, int]
) -> list[Violation]:
    """Check that runs never exceed the calls of a chain plus its tokens.

    Args:
        history: History.
        calls: Calls that one request makes in its whole chain, by the entry
            at which it starts.
        tokens: Retry tokens of a request, by that entry.
    """
    counts = collections.Counter(run.tag for run in history.runs)
    violations = []
    for tag, sent in history.sent.items():
        bound = calls[sent.entry] + tokens[sent.entry]
        if counts[tag] > bound:
            detail = f"{counts[tag]} runs, at most {bound}"
            violations.append(Violation("attempts_bounded", tag, detail))
    return violations


def check_answers_whole(history: History) -> list[Violation]:
    """Check that each answer is whole and belongs to its request."""
    return [
        Violation("answers_whole", tag, answer.outcome)
        for tag, answer in history.answers.items()
        if not answer.is_whole
    ]


def check_no_work_after_leaving(
    history: History, bound_s: float
) -> list[Violation]:
    """Check that no run starts at a target long after it said it leaves.

    Args:
        history: History.
        bound_s: Time allowed, in seconds.
    """
    left_at = {leaving.target: leaving.at for leaving in history.leavings}
    return [
        Violation("no_work_after_leaving", run.target, f"{run.tag} ran late")
        for run in history.runs
        if run.started_at > left_at.get(run.target, run.started_at) + bound_s
    ]


def _find_request(history: History, run: RunRecorded) -> str:
    sent = history.sent.get(run.tag)
    return run.tag if sent is None else sent.request
