"""Streams deliver each token once, in order and from one generation, despite failures."""

import json
import signal
import threading

import pytest

import fleet
from lib import calls, fleets


def _start_behind_proxy(running, *engine_options, entries=("entry-1",)):
    """Start one engine behind a proxy; the entries know only the proxy."""
    options = ("--model", calls.MODEL, *engine_options)
    running.start_engine("engine-1", *options)
    proxy = running.start_proxy("proxy-1", running.addresses["engine-1"])
    running.start_keeper()
    for name in entries:
        running.start_entry(name)
    running.apply_table(fleets.make_table(running, ("proxy-1",), ()))
    return proxy


def _read_some(stream, count):
    tokens = iter(stream)
    return [next(tokens) for _ in range(count)], tokens


@pytest.mark.parametrize("replay_events", ["0", "7"])
def test_cut_link_is_resumed_without_loss_or_repeat(running, replay_events):
    proxy = _start_behind_proxy(running, "--step-ms", "5", "--replay-events", replay_events)
    stream = calls.ChatStream(running.addresses["entry-1"], calls.make_chat(200))
    first, rest = _read_some(stream, 40)
    proxy.order(cut=True)
    assert first + list(rest) == list(range(200))
    assert stream.is_done
    assert len(stream.generations) == 1
    assert calls.get_counts(running.addresses["engine-1"])["resumed"] >= 1


def test_stalled_link_is_resumed(running):
    proxy = _start_behind_proxy(running, "--step-ms", "5")
    stream = calls.ChatStream(running.addresses["entry-1"], calls.make_chat(1_000))
    first, rest = _read_some(stream, 40)
    proxy.order(direction="down", stall=True)
    entry = running.processes["entry-1"]
    fleet.wait_for(
        lambda: [item for item in entry.get_records() if item.get("action") == "resume"],
        "the stall to be noticed",
    )
    proxy.order(direction="down", stall=False)
    assert first + list(rest) == list(range(1_000))
    assert len(stream.generations) == 1


@pytest.mark.parametrize("drop_after_bytes", [0, 1, 60, 150, 151, 152, 153, 400, 401, 402, 403])
def test_connection_cut_at_any_byte(running, drop_after_bytes):
    proxy = _start_behind_proxy(running, "--step-ms", "5")
    proxy.order(direction="down", drop_after_bytes=drop_after_bytes)
    stream = calls.ChatStream(running.addresses["entry-1"], calls.make_chat(30))
    tokens = stream.read_all()
    assert tokens == list(range(30))
    assert stream.is_done
    assert len(stream.generations) == 1


def test_lost_generation_is_an_error_and_never_another_one(running):
    fleets.start_fleet(running, services=(), entries=("entry-1",))
    stream = calls.ChatStream(running.addresses["entry-1"], calls.make_chat(4_000))
    first, rest = _read_some(stream, 10)
    used = next(
        name
        for name in ("engine-1", "engine-2")
        if calls.get_counts(running.addresses[name])["generations"]
    )
    running.processes[used].kill()
    tokens = first + list(rest)
    assert tokens == list(range(len(tokens)))
    assert not stream.is_done
    assert (stream.error["result_code"], stream.error["ran"]) == (3003, "yes")
    assert len(stream.generations) == 1


def test_engine_killed_before_the_first_token_is_retried_elsewhere(running):
    fleets.start_fleet(
        running, services=(), entries=("entry-1",), engine_options=("--prefill-us", "30000")
    )
    results = []
    thread = threading.Thread(
        target=lambda: results.append(
            calls.ChatStream(running.addresses["entry-1"], calls.make_chat(5)).read_all()
        )
    )
    thread.start()

    def _find_used():
        return [
            name
            for name in ("engine-1", "engine-2")
            if calls.get_counts(running.addresses[name])["generations"]
        ]

    used = fleet.wait_for(_find_used, "the request to reach an engine")[0]
    running.processes[used].kill()
    thread.join()
    assert results == [[0, 1, 2, 3, 4]]


def test_restarted_engine_does_not_splice(running):
    """A stream ends with an error if its engine restarted and lost the generation."""
    _start_behind_proxy(running, "--step-ms", "5")
    stream = calls.ChatStream(running.addresses["entry-1"], calls.make_chat(2_000))
    first, rest = _read_some(stream, 10)
    port = running.addresses["engine-1"].rpartition(":")[2]
    running.processes["engine-1"].kill()
    running.start_engine("engine-1", "--model", calls.MODEL, "--port", port)
    tokens = first + list(rest)
    assert tokens == list(range(len(tokens)))
    assert stream.error["result_code"] == 3003


def test_caller_goes_on_through_another_entry_when_its_own_died(running):
    fleets.start_fleet(running, services=(), engine_options=("--step-ms", "5"))
    stream = calls.ChatStream(running.addresses["entry-1"], calls.make_chat(600))
    first, rest = _read_some(stream, 25)
    running.processes["entry-1"].send_signal(signal.SIGKILL)
    got = list(first)
    try:
        got.extend(rest)
    except (OSError, ValueError):
        pass
    except Exception as error:
        assert "IncompleteRead" in type(error).__name__
    follow = calls.ChatStream(
        running.addresses["entry-2"], token=stream.token, last_event_id=stream.last_event_id
    )
    got.extend(follow)
    assert got == list(range(600))
    assert follow.is_done
    assert stream.generations == follow.generations


def test_foreign_caller_cannot_go_on_with_a_generation(running):
    fleets.start_fleet(running, services=())
    stream = calls.ChatStream(running.addresses["entry-1"], calls.make_chat(300))
    _read_some(stream, 3)
    foreign = calls.ChatStream(
        running.addresses["entry-2"],
        token=stream.token,
        last_event_id=stream.last_event_id,
        api_key=calls.OTHER_KEY,
    )
    assert foreign.answer.status == 404
    assert json.loads(foreign.answer.read())["error"]["result_code"] == 1008
    forged = stream.token[:-2] + ("AA" if stream.token[-2:] != "AA" else "BB")
    answer = calls.send(
        running.addresses["entry-1"],
        "GET",
        f"/v1/streams/{forged}",
        headers={"Last-Event-ID": stream.last_event_id},
    )
    assert answer.status == 404


def test_caller_that_leaves_cancels_its_generation(running):
    fleets.start_fleet(running, engines=("engine-1",), services=(), entries=("entry-1",))
    stream = calls.ChatStream(running.addresses["entry-1"], calls.make_chat(4_000))
    _read_some(stream, 3)
    stream.close()
    fleet.wait_for(
        lambda: calls.get_counts(running.addresses["engine-1"])["cancelled"] == 1,
        "the generation to be cancelled",
    )


def test_many_streams_at_once_each_get_their_own(running):
    fleets.start_fleet(running, services=(), engine_options=("--step-ms", "3"))
    results = {}

    def _read(number):
        entry = running.addresses[f"entry-{number % 2 + 1}"]
        stream = calls.ChatStream(entry, calls.make_chat(10 + number))
        results[number] = (stream.read_all(), frozenset(stream.generations))

    threads = [threading.Thread(target=_read, args=(number,)) for number in range(30)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert all(results[n][0] == list(range(10 + n)) for n in range(30))
    assert len({results[n][1] for n in range(30)}) == 30
