"""docs/SETTINGS.md is up to date with the settings classes."""

import dataclasses
import pathlib

import write_settings_page
from spoolhead._internal.models import settings

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "SETTINGS.md"


def test_the_page_is_the_one_that_the_types_give():
    assert PAGE.read_text(encoding="utf-8") == write_settings_page.make_page()


def test_every_setting_of_every_type_is_on_it_with_its_meaning():
    classes = write_settings_page.get_classes()
    assert {settings.EntrySettings, settings.GatewaySettings, settings.KeeperSettings} < set(
        classes
    )
    page = write_settings_page.make_page()
    for cls in classes:
        for field in dataclasses.fields(cls):
            (row,) = [
                line
                for line in page.partition(f"## {cls.__name__}\n")[2]
                .partition("\n## ")[0]
                .split("\n")
                if line.startswith(f"| `{field.name}` |")
            ]
            assert not row.endswith("|  |"), row


def test_types_units_and_bounds_are_told():
    page = write_settings_page.make_page()
    assert "| `health_interval_ms` | int | milliseconds | `200` | above 0 |" in page
    assert "| `shared_key` | str |  | required | length 16 or more |" in page
    assert "| `metrics_port` | int or none | port number | none |" in page
