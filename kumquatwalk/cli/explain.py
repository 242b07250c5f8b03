"""The ``explain`` command: timeline of a request, from logs of nodes."""

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
    """Show the timeline of a request and the cause of its outcome.

    REQUEST_ID is the attempt identifier of the request. FILES are logs of any
    number of nodes, in any order; without FILES, standard input is read. Events
    of the request's nodes that are not its own are marked with "~". The exit
    status is 1 if no log line belongs to the request.
    """
    streams = files or (click.get_text_stream("stdin", errors="replace"),)
    timeline = build_timeline(request_id, _read_rows(streams))
    if as_json:
        _print_json(timeline)
    else:
        _print_text(request_id, timeline)
    if not timeline.events:
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
        return None  # truncated line, or not a log line


def _print_text(request_id: str, timeline: RequestTimeline) -> None:
    if not timeline.events:
        click.echo(f"no log line belongs to request {request_id}")
        return
    first_s = timeline.events[0].at_s
    for event in timeline.events:
        mark = " " if event.is_own else "~"
        pairs = " ".join(f"{k}={v}" for k, v in event.fields.items())
        click.echo(
            f"{mark} +{event.at_s - first_s:8.3f}s {event.node:<20}"
            f" {event.name} {pairs}".rstrip()
        )
    click.echo(f"cause: {timeline.cause or 'not found in the logs'}")


def _print_json(timeline: RequestTimeline) -> None:
    events = [
        {
            "at": event.at_s,
            "node": event.node,
            "event": event.name,
            "own": event.is_own,
            "fields": dict(event.fields),
        }
        for event in timeline.events
    ]
    print_json({"events": events, "cause": timeline.cause})
