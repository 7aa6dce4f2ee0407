"""Datagrams that share loads decode to what was encoded; all other bytes raise ValueError."""

import contextlib
import math

import hypothesis
import msgpack
import pytest
from hypothesis import strategies

from spoolhead._internal.models import content_record, permits, rate_limit, shared_load

_numbers = strategies.integers(0, 2**31)
_rows = strategies.dictionaries(
    _numbers,
    strategies.builds(shared_load.InstanceLoad, _numbers, _numbers, _numbers, _numbers),
    max_size=30,
)
_alarms = strategies.lists(
    strategies.builds(
        shared_load.Alarm,
        strategies.text(max_size=9),
        strategies.sampled_from(shared_load.AlarmKind),
        reporter=strategies.text(max_size=9),
        sequence=_numbers,
    ),
    max_size=3,
)
_ages = strategies.lists(
    strategies.builds(shared_load.HallAge, strategies.text(max_size=9), _numbers), max_size=3
)

_records = strategies.builds(
    content_record.ContentRecord,
    content_id=strategies.binary(min_size=16, max_size=16),
    epoch=_numbers,
    ends=strategies.sets(_numbers, max_size=content_record.MAX_ENDS).map(sorted).map(tuple),
    waves=_numbers,
    trials=_numbers,
    trier=strategies.text(max_size=9),
    is_by_hand=strategies.booleans(),
)
_contents = strategies.builds(
    shared_load.ContentUpdate,
    strategies.lists(strategies.builds(content_record.AgedRecord, _records, _numbers), max_size=3),
    strategies.integers(0, 2**64 - 1),
)
_limit = strategies.one_of(strategies.none(), strategies.floats(0, 1e9))
_limits = strategies.lists(
    strategies.builds(rate_limit.AgedLimit, _numbers, _limit, _numbers), max_size=3
)
_NO_CONTENTS = [[], 0]


def _get_values(item):
    if isinstance(item, list):
        return [_get_values(each) for each in item]
    if hasattr(item, "__slots__") and not isinstance(item, shared_load.InstanceLoad):
        return [_get_values(getattr(item, name)) for name in item.__slots__]
    return item


@hypothesis.given(
    strategies.builds(
        shared_load.Report,
        sender=strategies.text(max_size=9),
        hall=strategies.text(max_size=9),
        sequence=_numbers,
        is_reporter=strategies.booleans(),
        rows=_rows,
        alarms=_alarms,
        contents=_contents,
        limits=_limits,
    )
)
def test_a_report_is_read_as_written(report):
    read = shared_load.decode(shared_load.encode_report(report))
    assert isinstance(read, shared_load.Report)
    assert _get_values(read) == _get_values(report)


@hypothesis.given(
    strategies.builds(
        shared_load.Totals,
        hub=strategies.text(max_size=9),
        sequence=_numbers,
        rows=_rows,
        ages=_ages,
        alarms=_alarms,
        contents=_contents,
        limits=_limits,
    )
)
def test_totals_are_read_as_written(totals):
    read = shared_load.decode(shared_load.encode_totals(totals))
    assert isinstance(read, shared_load.Totals)
    assert _get_values(read) == _get_values(totals)


@hypothesis.given(_rows, _ages, _alarms, _numbers, _contents, _limits)
def test_an_update_names_the_report_that_each_receiver_has_counted(
    rows, ages, alarms, counted, contents, limits
):
    update = shared_load.Update(
        sequence=7,
        rows=rows,
        ages=ages,
        alarms=alarms,
        contents=contents,
        limits=limits,
        hub="k",
    )
    data = shared_load.complete_update(shared_load.encode_update(update), counted)
    read = shared_load.decode(data)
    update.counted = counted
    assert isinstance(read, shared_load.Update)
    assert _get_values(read) == _get_values(update)


@hypothesis.given(
    strategies.builds(
        permits.PermitRequest,
        sender=strategies.text(max_size=9),
        hall=strategies.text(max_size=9),
        permit_id=_numbers,
        key=strategies.just(7),
        turn=_numbers,
        rank=_numbers,
        is_retry=strategies.booleans(),
        workspace=_numbers,
        wait_ms=_numbers,
        is_final=strategies.booleans(),
        stated=strategies.builds(rate_limit.AgedLimit, strategies.just(7), _limit, _numbers),
    )
)
def test_an_ask_for_a_permit_is_read_as_written(permit_request):
    read = shared_load.decode(permits.encode_permit_request(permit_request))
    assert isinstance(read, permits.PermitRequest)
    assert _get_values(read) == _get_values(permit_request)


@hypothesis.given(
    strategies.builds(
        permits.PermitReply,
        permit_id=_numbers,
        verdict=strategies.sampled_from(permits.Verdict),
        retry_after_ms=_numbers,
        backoff_ms=_numbers,
        stated=strategies.one_of(
            strategies.none(),
            strategies.builds(rate_limit.AgedLimit, _numbers, _limit, _numbers),
        ),
    )
)
def test_a_reply_to_one_is_read_as_written(reply):
    read = shared_load.decode(permits.encode_reply(reply))
    assert isinstance(read, permits.PermitReply)
    assert _get_values(read) == _get_values(reply)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        b"\x90",
        msgpack.packb(7),
        msgpack.packb([9, "a"]),
        msgpack.packb([shared_load.TOTALS, "a", 1, [], [["h"]], [], _NO_CONTENTS, []]),
        msgpack.packb([shared_load.UPDATE, "a", 1, [], [], [], _NO_CONTENTS, [], False]),
        msgpack.packb(
            [shared_load.UPDATE, "a", 1, [], [], [["i", 99, "e", 1, 0]], _NO_CONTENTS, [], False]
        )
        + msgpack.packb(1),
        msgpack.packb([4, "a", "h", 1, 0, 0, False, 7, 0, True, []]),
        msgpack.packb([4, "a", "h", 1, 0, 0, False, 7, 0, True, [1, 2.0, 3, 1, 2.0, 3]]),
        msgpack.packb([5, 1, 9, 0, 0, []]),
    ],
    ids=repr,
)
def test_other_bytes_are_refused(data):
    with pytest.raises(ValueError):
        shared_load.decode(data)


_REPORT_FIELDS = {
    "sender": "a",
    "hall": "h",
    "sequence": 1,
    "is_reporter": True,
    "rows": [1, 2, 3, 4, 5],
    "alarms": [["i", 1, "e", 1, 0]],
    "contents": [[[b"c", 0, [7], 0, 0, "", False, 0]], 0],
    "limits": [1, 2.0, 3],
    "wants_snapshot": False,
    "paces": [1, 55, 3, 0],
}


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("rows", [1, 2, 3]),
        ("rows", [1, 2, 3, 4, "5"]),
        ("rows", [1, 2, 3, 4, 1.5]),
        ("contents", [[["c", 0, [], 0, 0, "", False, 0]], 0]),
        ("contents", [[[b"c", 0, ["e"], 0, 0, "", False, 0]], 0]),
        ("contents", [[[b"c", 0, []]], 0]),
        ("contents", [[], None]),
        ("limits", [1, 2.0]),
        ("limits", [1, math.nan, 3]),
        ("limits", ["k", 1.0, 3]),
        ("limits", [1 << 32, 1.0, 3]),
        ("limits", [-1, 1.0, 3]),
        ("limits", [1, 1.0, rate_limit.MAX_AGE_MS + 1]),
        ("rows", [1, shared_load.MAX_ROW_VALUE + 1, 3, 4, 5]),
        ("rows", [1, 2, 3, 4, -1 - shared_load.MAX_ROW_VALUE]),
        ("paces", [1, 55, 3]),
        ("paces", 7),
    ],
)
def test_a_report_with_one_invalid_field_is_refused(field, value):
    assert (
        shared_load.decode(msgpack.packb([shared_load.REPORT, *_REPORT_FIELDS.values()])).sender
        == "a"
    )
    with pytest.raises(ValueError):
        shared_load.decode(
            msgpack.packb([shared_load.REPORT, *(_REPORT_FIELDS | {field: value}).values()])
        )


@hypothesis.given(strategies.binary(max_size=60))
def test_random_bytes_raise_nothing_else(data):
    with contextlib.suppress(ValueError):
        shared_load.decode(data)
