"""Commands that validate files of operators before a daemon reads them."""

import dataclasses

import click

from kumquatwalk.cli.command_error import convert_errors
from kumquatwalk.cli.output import print_json
from kumquatwalk.cli.output import print_table
from kumquatwalk.config.fleet_config import FleetConfig
from kumquatwalk.exception import CatalogueError
from kumquatwalk.platform.fleet_config import decode_fleet_config
from kumquatwalk.platform.settings import load_settings

__all__ = ["check_manifest", "check_settings", "find_problems"]

_json_option = click.option("--json", "as_json", is_flag=True)


@click.command("check-settings")
@click.argument("path", envvar="KUMQUATWALK_CONFIG")
@_json_option
@convert_errors
def check_settings(path: str, as_json: bool) -> None:
    """Validate a settings file of the platform and print its values."""
    settings = dataclasses.asdict(load_settings(path))
    bounds = settings.pop("bounds")
    rows = {k: _format(v) for k, v in (settings | bounds).items()}
    if as_json:
        print_json(rows)
    else:
        print_table(("SETTING", "VALUE"), rows.items())


@click.command("check-manifest")
@click.argument("file", type=click.File("rb"))
@_json_option
@convert_errors
def check_manifest(file, as_json: bool) -> None:
    """Validate a fleet configuration, the operators' manifest.

    The exit status is 1 if it is malformed and 3 if it is inconsistent.
    """
    config = decode_fleet_config(file.read())
    problems = find_problems(config)
    if problems:
        raise CatalogueError("manifest_invalid", "; ".join(problems))
    summary = {
        "version": config.version,
        "routes": len(config.routes),
        "services": len(config.services),
    }
    if as_json:
        print_json(summary)
    else:
        print_table(("WHAT", "VALUE"), summary.items())


def find_problems(config: FleetConfig) -> list[str]:
    """Return the inconsistencies of a well-formed configuration.

    These are routes with the same host and path prefix, and shares of services
    that the configuration does not define.

    Returns:
        One message for each; empty for a consistent configuration.
    """
    problems = []
    seen: set[tuple[str, str]] = set()
    for route in config.routes:
        match = (route.host, route.path_prefix)
        if match in seen:
            problems.append(
                f"{route.name}: another route has the same match {match}"
            )
        seen.add(match)
        for share in route.shares:
            if share.service not in config.services:
                problems.append(f"{route.name}: no service {share.service}")
    return problems


def _format(value: object) -> object:
    if isinstance(value, dict):
        return f"{value['host']}:{value['port']}"
    return value
