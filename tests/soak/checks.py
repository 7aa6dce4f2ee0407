"""The promises, checked from what callers and upstreams saw."""

import collections

from lib import limit_fleet, platform_fleet
from soak import plan
from soak import records as soak_records

PROMISES_NOT_RUN = {408, 421, 429, 503}
APPLY_S = 3.0
"""Time in which an accepted table must be in force everywhere."""
SETTLE_S = 4.0
"""Time after trouble before an entry is held to a time limit again."""
KNOWN_S = 3.0
"""Time after which what ends instances must be held everywhere."""
ENDS_TO_KNOW = 3
RUNS_BORNE = 3
ON_THE_WAY_S = 0.5
"""Time after an instance asked for rest for what is on its way already."""
REST_BORNE = 2
LEAVE_S = 3.0
"""Time after which a leaving upstream must get no new work: some readings of the list."""


def check(records):
    """Return every broken promise, a line each."""
    runs = collections.defaultdict(list)
    for run in records.runs:
        runs[run["id"]].append(run)
    broken = list(records.problems)
    for asked in records.asked:
        broken += _check_runs(asked, runs[asked.request_id])
        broken += _check_answer(asked)
        broken += _check_planned_stop(records, asked, runs[asked.request_id])
    broken += _check_leaving(records)
    broken += _check_evacuated(records)
    broken += _check_reads(records)
    broken += _check_entries(records)
    broken += _check_refusals(records)
    broken += _check_deadly(records)
    broken += _check_words(records)
    return broken


def _check_runs(asked, runs):
    first_runs = [run for run in runs if "kv-from" not in run["headers"]]
    if asked.kind in ("once", "talk") and len(first_runs) > 1:
        yield f"{asked.request_id} ({asked.kind}) ran {len(first_runs)} times"
    if asked.kind in ("once", "talk") and asked.status in PROMISES_NOT_RUN and runs:
        yield f"{asked.request_id} ran although it was answered {asked.status}"


def _check_answer(asked):
    if asked.status != 200:
        return
    if asked.kind == "talk":
        expected = platform_fleet.make_events(asked.events)
        if not expected.startswith(asked.body) or (asked.is_whole and asked.body != expected):
            yield f"{asked.request_id} got other events than its own: {asked.body[-80:]!r}"
    elif asked.is_whole and asked.body != asked.request_id.encode():
        yield f"{asked.request_id} got {asked.body[:80]!r}"


def _check_planned_stop(records, asked, runs):
    """A planned stop or reload of its entry alone cuts nothing that was passed on."""
    if asked.is_whole or not runs:
        return
    from_s, to_s = asked.sent_s - SETTLE_S, asked.ended_s
    is_planned = records.was_disturbed(asked.entry, asked.sent_s, to_s)
    is_planned = is_planned and records.was_planned_only(asked.entry, from_s, to_s)
    upstreams = (*plan.MODELS, *plan.PLAIN)
    if is_planned and not any(records.was_disturbed(name, from_s, to_s) for name in upstreams):
        yield f"{asked.request_id} was cut by a planned stop of {asked.entry}"


def _check_leaving(records):
    drains = [item for item in records.disturbances if item.kind == "drain"]
    entries = {asked.request_id: asked.entry for asked in records.asked}
    for drain in drains:
        for run in records.runs:
            late_s = run["at_s"] - drain.began_s
            if run["instance"] != drain.target or late_s <= LEAVE_S:
                continue
            if run["at_s"] > drain.ended_s:
                continue
            entry = entries.get(run["id"], "")
            if not records.was_disturbed(entry, drain.began_s - SETTLE_S, run["at_s"]):
                yield f"{run['id']} began at {drain.target} {late_s:.1f} s after its notice"


def _check_deadly(records):
    """Whatever befell the processes, what ended three instances is held from then on."""
    ends_s = sorted(end["at_s"] for end in records.ends)
    if len(ends_s) < ENDS_TO_KNOW:
        return
    known_s = ends_s[ENDS_TO_KNOW - 1] + KNOWN_S
    late = [
        run
        for run in records.runs
        if run["id"].startswith(soak_records.DEADLY) and run["at_s"] > known_s
    ]
    if len(late) > RUNS_BORNE:
        yield f"a deadly request ran {len(late)} times more after {len(ends_s)} ends"


def _check_words(records):
    """What an instance says of itself binds every entry that nothing befell."""
    entries = {asked.request_id: asked.entry for asked in records.asked}
    for word in records.words:
        arrivals = [
            (item["at_s"], entries.get(item["id"], ""))
            for item in records.arrivals
            if item["instance"] == word.target and word.began_s <= item["at_s"] <= word.ended_s
        ]
        yield from _WORD_CHECKS[word.kind](records, word, arrivals)


def _check_limit(records, word, arrivals):
    bound = [at_s for at_s, _ in arrivals if at_s >= word.began_s + limit_fleet.CONTACT_S]
    most = limit_fleet.get_max_in_window(bound)
    was_calm = not any(
        records.was_disturbed(entry, word.began_s, word.ended_s) for entry in plan.ENTRIES
    )
    if was_calm and most > limit_fleet.get_max_allowed(plan.LIMIT_PER_S):
        yield f"{word.target} got {most} requests within its limit"


def _check_rest(records, word, arrivals):
    for asked_s, entry in arrivals:
        until_s = asked_s + plan.REST_S
        late = [at_s for at_s, by in arrivals if by == entry and _is_in_rest(at_s, asked_s)]
        if len(late) > REST_BORNE and not records.was_disturbed(entry, asked_s, until_s):
            yield f"{word.target} got {len(late)} requests of {entry} in its rest"
            return


def _is_in_rest(at_s, asked_s):
    return asked_s + ON_THE_WAY_S < at_s <= asked_s + plan.REST_S


def _check_announced(records, word, arrivals):
    told_s = {}
    for at_s, entry in arrivals:
        late_s = at_s - told_s.setdefault(entry, at_s)
        if late_s > LEAVE_S and not records.was_disturbed(entry, word.began_s - SETTLE_S, at_s):
            yield f"{word.target} got a request of {entry} {late_s:.1f} s after its word"


_WORD_CHECKS = {"limit": _check_limit, "rest": _check_rest, "announce": _check_announced}


def _check_evacuated(records):
    """What came to an entry after an evacuation was in force goes elsewhere, whatever befell it."""
    sent_s = {asked.request_id: asked.sent_s for asked in records.asked}
    for item in records.evacuations:
        for run in records.runs:
            if run["instance"] not in plan.FAR or run["at_s"] >= item.withdrawn_s:
                continue
            late_s = sent_s.get(run["id"], 0.0) - item.acknowledged_s
            if late_s > APPLY_S:
                yield f"{run['id']} ran in the evacuated hall {late_s:.1f} s after the order"


def _check_reads(records):
    for read in records.reads:
        due = [item.version for item in records.acknowledged if item.at_s < read.sent_s]
        if read.version < max(due, default=0):
            yield f"{read.keeper} told version {read.version} after {max(due)} was acknowledged"


def _check_entries(records):
    """Each entry that has obeyed a table never obeys an older one again."""
    obeyed = {}
    probes = sorted(
        (item for item in records.asked if item.kind == "version"), key=lambda item: item.sent_s
    )
    for probe in probes:
        known = probe.status not in (0, 404, 503)
        if known:
            obeyed.setdefault((probe.entry, probe.version), probe.ended_s)
            continue
        if probe.status != 404:
            continue
        seen_s = obeyed.get((probe.entry, probe.version))
        if seen_s is not None and seen_s < probe.sent_s:
            killed = any(
                item.kind in ("kill", "stop")
                and item.target == probe.entry
                and item.ended_s > seen_s
                and item.began_s < probe.ended_s
                for item in records.disturbances
            )
            if not killed:
                yield f"{probe.entry} went back behind version {probe.version}"


def _check_refusals(records):
    """Whatever befell the processes, an entry refuses for good only what it can be sure of."""
    acked_s = {item.version: item.at_s for item in records.acknowledged}
    for probe in records.asked:
        if probe.kind != "version" or probe.status != 404 or probe.version not in acked_s:
            continue
        late_s = probe.sent_s - acked_s[probe.version]
        if late_s > APPLY_S:
            yield f"{probe.entry} refused version {probe.version} {late_s:.1f} s after it was taken"
