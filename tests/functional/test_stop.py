"""Planned stops: requests in flight are completed and new ones refused."""

import signal
import threading

import fleet
from lib import calls, fleets
from spoolhead._internal.models import settings
from spoolhead._internal.network import messages, peer_call


def test_stop_under_load_cuts_nothing(running):
    fleets.start_fleet(running, engine_options=("--step-ms", "10"))
    address = running.addresses["entry-1"]
    results = []

    def _chat():
        results.append(calls.ChatStream(address, calls.make_chat(100)).read_all())

    def _tally():
        answer = calls.send(address, "POST", "/countdesk/t?delay_ms=1000", {"count": 1})
        results.append(answer.status)

    threads = [threading.Thread(target=_chat) for _ in range(8)]
    threads += [threading.Thread(target=_tally) for _ in range(4)]
    for thread in threads:
        thread.start()
    entry = running.processes["entry-1"]
    fleet.wait_for(
        lambda: len([r for r in entry.get_records() if r.get("action") == "run"]) == 12,
        "everything to run",
    )
    open_connection = calls.connect(address)
    open_connection.request("GET", "/livez")
    open_connection.getresponse().read()
    entry.send_signal(signal.SIGTERM)
    fleet.wait_for(
        lambda: [r for r in entry.get_records() if r["text"].startswith("stopping")], "the stop"
    )
    ready = calls.send(address, "GET", "/readyz")
    assert (ready.status, ready.json["stopping"]) == (503, True)
    refused = calls.send(address, "POST", "/v1/chat/completions", calls.make_chat(1))
    assert (refused.status, refused.error["result_code"]) == (503, 2004)
    assert refused.error["ran"] == "no"
    assert int(refused.headers["retry-after"]) >= 1
    for thread in threads:
        thread.join()
    assert entry.wait() == 0
    assert results.count(200) == 4
    assert [r for r in results if r != 200] == [list(range(100))] * 8


def test_waiting_requests_are_served_before_the_end(running):
    fleets.start_fleet(
        running,
        services=(),
        entries=("entry-1",),
        workspace={"max_running": 1},
        engine_options=("--step-ms", "10"),
    )
    address = running.addresses["entry-1"]
    results = []
    threads = [
        threading.Thread(
            target=lambda: results.append(
                calls.ChatStream(address, calls.make_chat(200)).read_all()
            )
        )
        for _ in range(3)
    ]
    for thread in threads:
        thread.start()
    entry = running.processes["entry-1"]
    fleet.wait_for(lambda: [r for r in entry.get_records() if r.get("action") == "run"], "a run")
    fleet.wait_for(lambda: _count_requests(running) == 3, "all three to run or wait")
    assert entry.stop() == 0
    for thread in threads:
        thread.join()
    assert results == [list(range(200))] * 3


def _count_requests(running):
    """Return the number of running and waiting requests, as the entry reports it.

    Asks the entry directly, because the operators' program may take as long to start as an answer
    lasts.
    """
    config = settings.read_settings(
        settings.OperatorSettings, str(running.write_operator_settings())
    )
    with peer_call.PeerCall(config.entries[0], config) as call:
        status = call.request(messages.GetStatus(request=1), messages.StatusAnswer).status
    return status["running"] + status["waiting"]


def test_idle_programs_stop_with_exit_code_0(running):
    fleets.start_fleet(running, entries=("entry-1",))
    for name in ("entry-1", "keeper-1"):
        assert running.processes[name].stop() == 0
