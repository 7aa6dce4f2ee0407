"""Requests that may run only once: resends, other entries, crashes, unreachable keepers."""

import json
import signal
import threading
import time

import pytest

import fleet
from lib import calls, fleets

TALLY = {"species": "curlew", "count": 3}


def _send(running, key, entry="entry-1", body=TALLY, query="", method="POST"):
    headers = {"Idempotency-Key": key} if key else {}
    path = f"/countdesk/tallies{query}"
    return calls.send(running.addresses[entry], method, path, body, headers=headers)


def _count_runs(running, name="countdesk-1"):
    return len(calls.get_runs(running.addresses[name]))


@pytest.fixture
def services_fleet(running):
    fleets.start_fleet(running, engines=(), services=("countdesk-1", "countdesk-2"))
    return running


def _count_all_runs(running):
    return _count_runs(running, "countdesk-1") + _count_runs(running, "countdesk-2")


def test_resend_gets_the_first_outcome_through_any_entry(services_fleet):
    first = _send(services_fleet, "k1")
    assert first.status == 200
    again = [_send(services_fleet, "k1", entry) for entry in ("entry-1", "entry-2", "entry-2")]
    assert {answer.body for answer in again} == {first.body}
    assert {answer.headers["x-spoolhead-replayed"] for answer in again} == {"yes"}
    assert _count_all_runs(services_fleet) == 1


def test_other_request_under_the_same_key_is_refused(services_fleet):
    _send(services_fleet, "k1")
    other = _send(services_fleet, "k1", body={"species": "dunlin", "count": 1})
    assert (other.status, other.error["result_code"], other.error["ran"]) == (422, 3008, "no")
    assert _count_all_runs(services_fleet) == 1


def test_keys_of_workspaces_are_apart(services_fleet):
    services_fleet.run_operator("edit", "workspaces", "other", 'services=["countdesk"]')
    _send(services_fleet, "k1")
    headers = {"Idempotency-Key": "k1"}
    path = "/countdesk/tallies"
    answer = calls.send(
        services_fleet.addresses["entry-1"],
        "POST",
        path,
        TALLY,
        api_key=calls.OTHER_KEY,
        headers=headers,
    )
    assert "x-spoolhead-replayed" not in answer.headers
    assert _count_all_runs(services_fleet) == 2


def test_resend_while_the_first_runs_does_not_run(services_fleet):
    results = []
    thread = threading.Thread(
        target=lambda: results.append(_send(services_fleet, "k1", query="?delay_ms=1500"))
    )
    thread.start()
    fleet.wait_for(lambda: _count_all_runs(services_fleet) == 1, "the first to run")
    again = _send(services_fleet, "k1", "entry-2", query="?delay_ms=1500")
    assert (again.status, again.error["result_code"]) == (409, 3009)
    assert again.error["ran"] == "unknown"
    assert int(again.headers["retry-after"]) >= 1
    thread.join()
    assert results[0].status == 200
    assert _count_all_runs(services_fleet) == 1


def test_resend_after_the_entry_died_is_told_unknown(services_fleet):
    thread = threading.Thread(
        target=lambda: _ignore_os_error(_send, services_fleet, "k1", query="?delay_ms=60000")
    )
    thread.daemon = True
    thread.start()
    fleet.wait_for(lambda: _count_all_runs(services_fleet) == 1, "the first to run")
    services_fleet.processes["entry-1"].kill()

    answer = _wait_until_unknown(services_fleet, "the keeper to report the outcome as unknown")
    assert answer.error["ran"] == "unknown"
    assert _count_all_runs(services_fleet) == 1


def _wait_until_unknown(services_fleet, text):
    """Resend the request until the keeper reports that its outcome is unknown."""

    def _is_unknown():
        answer = _send(services_fleet, "k1", "entry-2", query="?delay_ms=60000")
        assert answer.status == 409
        return answer.error["result_code"] == 3007 and answer

    return fleet.wait_for(_is_unknown, text)


def _kill_during_run(services_fleet, key, *, method="POST", delay_ms=60_000):
    """Kill the service that runs a request while it runs.

    :returns: the answer, the name of that service and the name of the other one.
    """
    results = []
    query = f"?delay_ms={delay_ms}"
    thread = threading.Thread(
        target=lambda: results.append(_send(services_fleet, key, query=query, method=method))
    )
    thread.start()
    used = fleet.wait_for(
        lambda: [
            name for name in ("countdesk-1", "countdesk-2") if _count_runs(services_fleet, name)
        ],
        "the run",
    )[0]
    services_fleet.processes[used].kill()
    thread.join()
    other = "countdesk-2" if used == "countdesk-1" else "countdesk-1"
    return results[0], used, other


def test_service_killed_during_the_run_is_unknown_and_never_repeated(services_fleet):
    answer, _, other = _kill_during_run(services_fleet, "k1")
    assert (answer.status, answer.error["ran"]) == (502, "unknown")
    # The caller has its answer before the keeper has the end of the request.
    again = _wait_until_unknown(services_fleet, "the end to be recorded")
    assert (again.status, again.error["result_code"]) == (409, 3007)
    assert _count_runs(services_fleet, other) == 0


def test_without_a_key_it_is_not_repeated_either(services_fleet):
    answer, _, other = _kill_during_run(services_fleet, "")
    assert (answer.status, answer.error["result_code"]) == (502, 3002)
    assert answer.error["ran"] == "unknown"
    assert _count_runs(services_fleet, other) == 0


def test_repeatable_call_goes_to_another_upstream(services_fleet):
    answer, used, other = _kill_during_run(services_fleet, "", method="PUT", delay_ms=1_000)
    assert answer.status == 200
    assert answer.json["service"] == other != used


def test_no_connection_means_not_run_and_the_key_is_free(services_fleet):
    for name in ("countdesk-1", "countdesk-2"):
        services_fleet.processes[name].kill()
    answer = _send(services_fleet, "k1")
    assert answer.status in (502, 503)
    assert answer.error["ran"] == "no"
    port = services_fleet.addresses["countdesk-1"].rpartition(":")[2]
    services_fleet.start_service("countdesk-1", "--port", port)
    # The ejection after the failures ends by itself; until then the answer says "not run".
    again = fleet.wait_for(
        lambda: (answer := _send(services_fleet, "k1", "entry-2")).status == 200 and answer, "a run"
    )
    assert again.json["run"] == 0
    assert _count_runs(services_fleet, "countdesk-1") == 1


def test_cut_off_from_the_keepers_means_not_run(services_fleet):
    services_fleet.processes["keeper-1"].send_signal(signal.SIGSTOP)
    answer = _send(services_fleet, "k1")
    services_fleet.processes["keeper-1"].send_signal(signal.SIGCONT)
    assert (answer.status, answer.error["result_code"], answer.error["ran"]) == (503, 2008, "no")
    assert int(answer.headers["retry-after"]) >= 1
    assert _count_all_runs(services_fleet) == 0
    # The claim may have reached the keeper; the entry releases it, so the key can still run.
    again = fleet.wait_for(
        lambda: (answer := _send(services_fleet, "k1", "entry-2")).status == 200 and answer, "a run"
    )
    assert again.status == 200
    assert _count_all_runs(services_fleet) == 1


def test_claims_survive_the_keepers_restart(services_fleet):
    first = _send(services_fleet, "k1")
    port = int(services_fleet.addresses["keeper-1"].rpartition(":")[2])
    services_fleet.processes["keeper-1"].kill()
    services_fleet.start_keeper(port=port)
    again = fleet.wait_for(
        lambda: (answer := _send(services_fleet, "k1", "entry-2")).status == 200 and answer,
        "an answer",
    )
    assert again.body == first.body
    assert _count_all_runs(services_fleet) == 1


def test_caller_that_left_finds_the_outcome(services_fleet):
    connection = calls.connect(services_fleet.addresses["entry-1"])
    headers = {"Authorization": f"Bearer {calls.API_KEY}", "Idempotency-Key": "k1"}
    path = "/countdesk/tallies?delay_ms=500"
    connection.request("POST", path, json.dumps(TALLY), headers)
    fleet.wait_for(lambda: _count_all_runs(services_fleet) == 1, "the run")
    connection.close()
    again = fleet.wait_for(
        lambda: (answer := _send(services_fleet, "k1", "entry-2", query="?delay_ms=500")).status
        == 200
        and answer,
        "the outcome",
    )
    assert again.headers["x-spoolhead-replayed"] == "yes"
    assert _count_all_runs(services_fleet) == 1


def test_race_of_resends_runs_once(services_fleet):
    results = []

    def _race(entry):
        results.append(_send(services_fleet, "k1", entry, query="?delay_ms=100"))

    threads = [
        threading.Thread(target=_race, args=(f"entry-{number % 2 + 1}",)) for number in range(12)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert _count_all_runs(services_fleet) == 1
    assert {answer.status for answer in results} <= {200, 409}
    assert len({answer.body for answer in results if answer.status == 200}) == 1


def _ignore_os_error(call, *arguments, **keywords):
    try:
        call(*arguments, **keywords)
    except OSError:
        time.sleep(0)
