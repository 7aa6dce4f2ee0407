"""The examples in docs/ are valid, and docs/METRICS.md lists every metric."""

import pathlib
import subprocess
import sys

import pytest

from spoolhead._internal.models import settings
from spoolhead._internal.table import documents
from spoolhead._internal.utils import metrics

DOCS = pathlib.Path(__file__).parents[2] / "docs"


@pytest.mark.parametrize(
    ("name", "kind"),
    [
        ("entry", settings.EntrySettings),
        ("keeper", settings.KeeperSettings),
        ("operator", settings.OperatorSettings),
    ],
)
def test_examples_of_settings_are_right(name, kind):
    settings.read_settings(kind, str(DOCS / "examples" / f"{name}.json"))


def test_example_of_a_table_is_right():
    assert len(documents.read_document(str(DOCS / "examples" / "table.json"))) == 6


def test_the_embedding_example_runs():
    ran = subprocess.run(
        [sys.executable, str(DOCS / "examples" / "embedding.py")],
        capture_output=True,
        text=True,
        check=True,
    )
    assert ran.stdout == "[42, 42, 42]\n"


def test_every_metric_is_documented():
    text = (DOCS / "METRICS.md").read_text(encoding="utf-8")
    for metric in metrics.Metric:
        assert f"`{metric}" in text
