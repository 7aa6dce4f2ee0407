"""Starts fleets of real processes with a table for tests."""

import pathlib

import fleet
from lib import calls


def start_fleet(
    running: fleet.Fleet,
    *,
    engines: tuple[str, ...] = ("engine-1", "engine-2"),
    services: tuple[str, ...] = ("countdesk-1",),
    entries: tuple[str, ...] = ("entry-1", "entry-2"),
    engine_options: tuple[str, ...] = (),
    entry_changes: dict | None = None,
    workspace: dict | None = None,
) -> None:
    """Start a fleet and apply a table with two workspaces."""
    for name in engines:
        running.start_engine(name, "--model", calls.MODEL, *engine_options)
    for name in services:
        running.start_service(name)
    running.start_keeper()
    for name in entries:
        running.start_entry(name, changes=entry_changes)
    running.apply_table(make_table(running, engines, services, workspace))


def make_table(
    running: fleet.Fleet,
    engines: tuple[str, ...],
    services: tuple[str, ...],
    workspace: dict | None = None,
) -> dict:
    """Return the table that :func:`start_fleet` applies.

    Workspace ``trial`` may call the services; workspace ``other`` only models.
    """
    table = fleet.make_table(
        running.addresses,
        api_key=calls.API_KEY,
        model=calls.MODEL,
        engines=engines,
        services={"countdesk": services} if services else {},
        workspace=workspace,
    )
    other = dict(table["workspaces"]["trial"])
    other["key_sha256"] = [fleet.view.get_key_digest(calls.OTHER_KEY)]
    table["workspaces"]["other"] = {**other, "services": []}
    return table


def make_fleet(folder: pathlib.Path) -> fleet.Fleet:
    return fleet.Fleet(folder)
