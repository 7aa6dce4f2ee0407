"""A series of refused writes is logged once when it begins and once when it ends."""

import logging

from spoolhead._internal.utils import disk_refusals


def test_each_time_of_refusals_has_one_line_at_either_end(caplog, tmp_path):
    caplog.set_level(logging.INFO)
    refusals = disk_refusals.DiskRefusals(tmp_path / "file")
    refusals.record_success()
    for _ in range(2):
        refusals.record_refused(OSError("full"))
        refusals.record_refused(OSError("full"))
        refusals.record_success()
        refusals.record_success()
    assert [record.getMessage() for record in caplog.records] == [
        "disk refuses writes",
        "disk takes writes again",
    ] * 2
