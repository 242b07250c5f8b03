"""The ``explain`` command: a request's way, from the logs of its nodes."""

import datetime
import sys
from collections.abc import Iterable
from collections.abc import Iterator

import click

from kumquatwalk.cli.exit_codes import ExitCode
from kumquatwalk.cli.output import print_json
from kumquatwalk.logs.parser import parse_line
from kumquatwalk.logs.timeline import RequestTimeline
from kumquatwalk.logs.timeline import build_timeline

__all__ = ["explain"]


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.File("r", errors="replace"))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def explain(request_id: str, files, as_json: bool) -> None:
    """Explain what became of a request.

    REQUEST_ID is the identifier of the attempt. FILES are logs of any number of
    nodes, in any order; without any, standard input is read. The exit status is
    1 when no line tells of the request.
    """
    streams = files or (click.get_text_stream("stdin", errors="replace"),)
    story = build_timeline(request_id, _read_rows(streams))
    if as_json:
        _print_json(story)
    else:
        _print_text(request_id, story)
    if not story.events:
        sys.exit(ExitCode.FAILED)


def _read_rows(
    streams: Iterable[Iterable[str]],
) -> Iterator[tuple[float, dict[str, str]]]:
    for stream in streams:
        for line in stream:
            fields = parse_line(line)
            at_s = _parse_time(fields.get("time", ""))
            if fields.get("event") and at_s is not None:
                yield at_s, fields


def _parse_time(text: str) -> float | None:
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        return None  # a line that was cut, or is not the log's


def _print_text(request_id: str, story: RequestTimeline) -> None:
    if not story.events:
        click.echo(f"no line tells of {request_id}")
        return
    first_s = story.events[0].at_s
    for event in story.events:
        mark = " " if event.is_own else "~"
        pairs = " ".join(f"{k}={v}" for k, v in event.fields.items())
        click.echo(
            f"{mark} +{event.at_s - first_s:8.3f}s {event.node:<20}"
            f" {event.name} {pairs}".rstrip()
        )
    click.echo(f"cause: {story.cause or 'no log says'}")


def _print_json(story: RequestTimeline) -> None:
    events = [
        {
            "at": event.at_s,
            "node": event.node,
            "event": event.name,
            "own": event.is_own,
            "fields": dict(event.fields),
        }
        for event in story.events
    ]
    print_json({"events": events, "cause": story.cause})
