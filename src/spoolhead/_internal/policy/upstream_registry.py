"""The instances that an entry knows, with their state.

Performs no I/O; the current time is passed in.
"""

import collections
import math
from collections.abc import Iterable

from spoolhead._internal.models import dialects, instances, shared_load
from spoolhead._internal.policy import latest_starts, pace_estimate, requested_rest

FAILURES_TO_EJECT = 3
"""Consecutive attempts without an answer after which an instance is ejected."""
REPORTERS_TO_EJECT = 2
"""Entries that must have lost a request at an instance before it is ejected: a single entry may
itself be cut off."""
REPORTER_TTL_S = 1.0
"""Time within which those entries must have reported the loss."""
OWN_REPORTER = ""
"""Reporter name that stands for this entry itself."""
INITIAL_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
"""Each ejection in a row lasts twice as long as the previous one, up to the maximum."""
LOAD_TTL_S = 1.0
"""Age up to which a load reported by an instance is used; the load changes within about a
second."""
ALARM_TTL_S = 2.5
"""Time for which an alarm counts unless the instance list confirms it: the list lags by up to 0.8 s
and is polled every half second."""
MAX_SENT_TIMES = 64
"""Maximum number of send times stored per instance: more than an entry may send to a cold instance
in a second."""
REPLACED_TTL_S = 4.0
"""Time for which an instance is blocked after another one has answered at its address: about as
long as the platform goes on listing an instance that is gone."""
ALARM_COOLDOWN_S = 30.0
"""Time for which repeated alarms for an instance are ignored after a false positive."""


class InFlightRequest:
    """A request in flight at an instance.

    :ivar request_id: its id.
    :ivar tokens: memory that it uses or will use, in tokens; 0 for a plain request.
    :ivar prefill_tokens: tokens of its prompt that are not processed yet.
    :ivar answer_tokens: tokens that it is expected to generate in total.
    :ivar is_copy: whether it is a copy of a run, stored for a migration to this instance.
    :ivar rank: its route's rank, 0 for the most urgent.
    :ivar workspace: name of its workspace; empty without one.
    """

    __slots__ = (
        "answer_tokens",
        "is_copy",
        "prefill_tokens",
        "rank",
        "request_id",
        "tokens",
        "workspace",
    )

    def __init__(
        self,
        request_id: str,
        tokens: int,
        *,
        prefill_tokens: int,
        answer_tokens: int = 0,
        is_copy: bool = False,
        rank: int = 0,
        workspace: str = "",
    ) -> None:
        self.request_id = request_id
        self.tokens = tokens
        self.prefill_tokens = prefill_tokens
        self.answer_tokens = answer_tokens
        self.is_copy = is_copy
        self.rank = rank
        self.workspace = workspace


class Upstream:
    """One incarnation of an instance.

    :ivar instance: the instance as listed.
    :ivar key: number that identifies it in datagrams.
    :ivar in_flight: this entry's requests there, by request id.
    :ivar other_load: load of the other entries' requests there.
    :ivar is_leaving: whether the instance leaves and gets no new requests.
    :ivar has_announced_leaving: whether the instance itself announced that it leaves, whatever the
        list shows.
    :ivar is_gone: whether the instance is no longer listed.
    :ivar is_evacuated: whether its hall is evacuated, so that it gets no new requests.
    :ivar rest: rest that the instance asked for.
    :ivar max_rejections_per_s: rejections within a second beyond which it crashes, as its latest
        answer states; None if it states none.
    :ivar pace: how long work takes at the instance.
    :ivar listed_cold: the list entry because of which it was last marked cold.
    :ivar has_restarted: whether the instance has restarted, or another one is listed at its
        address, which shows that this incarnation has ended.
    """

    __slots__ = (
        "_cold_until_s",
        "_failures",
        "_last_detected_s",
        "_load",
        "_load_s",
        "_replaced_until_s",
        "_reporters",
        "_ejection_s",
        "_ejected_until_s",
        "_last_reported_s",
        "_sent_s",
        "has_announced_leaving",
        "has_restarted",
        "instance",
        "is_evacuated",
        "is_gone",
        "is_leaving",
        "key",
        "listed_cold",
        "max_rejections_per_s",
        "other_load",
        "pace",
        "rest",
        "in_flight",
    )

    def __init__(self, instance: instances.Instance) -> None:
        self.instance = instance
        self.key = shared_load.get_key(instance.incarnation_id)
        self.in_flight: dict[str, InFlightRequest] = {}
        self.other_load = shared_load.InstanceLoad()
        self.rest = requested_rest.RequestedRest()
        self.pace = pace_estimate.PaceEstimate()
        self.max_rejections_per_s: float | None = None
        self.is_leaving = instance.is_leaving
        self.is_gone = False
        self.has_announced_leaving = False
        self.is_evacuated = False
        self.has_restarted = False
        self.listed_cold: instances.Instance | None = None
        self._cold_until_s = -math.inf
        self._replaced_until_s = -math.inf
        # Created on first use: an empty deque takes as much memory as a full one, and most
        # instances get no requests.
        self._sent_s: collections.deque[float] | None = None
        self._load: dialects.UpstreamLoad | None = None
        self._load_s = 0.0
        self._failures = 0
        self._ejection_s = INITIAL_EJECTION_S
        self._ejected_until_s = 0.0
        self._reporters: dict[str, float] = {}
        self._last_reported_s = -math.inf
        self._last_detected_s = -math.inf

    @property
    def tokens(self) -> int:
        """Memory that all known requests use or will use, in tokens."""
        return self.other_load.tokens + self.own_tokens

    @property
    def prefill_tokens(self) -> int:
        """Tokens of all known prompts that are not processed yet."""
        return self.other_load.prefill_tokens + self.own_prefill_tokens

    @property
    def answer_tokens(self) -> int:
        """Tokens that all known requests are expected to generate in total."""
        return self.other_load.answer_tokens + self.own_answer_tokens

    @property
    def own_answer_tokens(self) -> int:
        """Tokens that this entry's requests are expected to generate in total."""
        return sum(request.answer_tokens for request in self.in_flight.values())

    @property
    def own_tokens(self) -> int:
        """Memory that this entry's requests use or will use, in tokens."""
        return sum(request.tokens for request in self.in_flight.values())

    @property
    def own_prefill_tokens(self) -> int:
        """Tokens of this entry's prompts that are not processed yet."""
        return sum(request.prefill_tokens for request in self.in_flight.values())

    @property
    def count(self) -> int:
        """Number of known requests of all entries."""
        return self.other_load.count + len(self.in_flight)

    def may_crash_by_rejecting(self, now_s: float) -> bool:
        """Return whether one more request might be rejected and rejections crash the instance.

        It may let fewer requests wait than its slots suggest, so none are sent to wait.
        """
        if self.max_rejections_per_s is None:
            return False
        known = max(self.count, self.get_reported_count(now_s))
        return known >= max(1, self.instance.slots)

    def is_usable(self, now_s: float) -> bool:
        """Return whether new requests may be sent to the instance."""
        is_open = not self.is_evacuated and not self.may_be_leaving(now_s)
        is_accepting = now_s >= self._ejected_until_s and not self.rest.is_likely_to_reject(now_s)
        return is_open and not self.is_replaced(now_s) and is_accepting

    @property
    def copy_count(self) -> int:
        """Number of this entry's runs that have a copy there."""
        return sum(request.is_copy for request in self.in_flight.values())

    def is_cold(self, now_s: float) -> bool:
        """Return whether the instance has just started and can take few requests."""
        return now_s < self._cold_until_s

    def is_replaced(self, now_s: float) -> bool:
        """Return whether another instance answers at its address, though it is still listed."""
        return now_s < self._replaced_until_s

    def record_replaced(self, now_s: float) -> bool:
        """Record that another instance answers at its address.

        :returns: whether that was not known yet.
        """
        is_new = not self.is_replaced(now_s)
        self._replaced_until_s = now_s + REPLACED_TTL_S
        return is_new

    def record_cold(self, cold_ms: int, now_s: float) -> bool:
        """Record for how long the instance stays cold, as reported by itself or by another entry.

        :returns: whether the instance was not known to be cold.
        """
        is_new = cold_ms > 0 and not self.is_cold(now_s)
        self._cold_until_s = now_s + cold_ms / 1000
        return is_new

    def assume_cold(self, cold_ms: int, now_s: float) -> None:
        """Treat the instance as cold for a time, unless it is known to be cold for longer."""
        self._cold_until_s = max(self._cold_until_s, now_s + cold_ms / 1000)

    def record_sent(self, now_s: float) -> None:
        """Record a request that is sent to the instance."""
        if self._sent_s is None:
            self._sent_s = collections.deque(maxlen=MAX_SENT_TIMES)
        self._sent_s.append(now_s)
        self.rest.record_sent(now_s)

    def count_sent(self, since_s: float) -> int:
        """Return the number of requests that this entry has sent to the instance since a time."""
        return sum(sent_s > since_s for sent_s in self._sent_s or ())

    def record_announced_leaving(self) -> bool:
        """Record that the instance announced that it leaves, which it cannot revoke.

        :returns: whether that was not known yet.
        """
        is_new = not self.has_announced_leaving
        self.has_announced_leaving = True
        self.is_leaving = True
        return is_new

    def may_be_leaving(self, now_s: float) -> bool:
        """Return whether the instance leaves, or has a current alarm, which may mean the same."""
        return self.is_leaving or self.is_alarmed(now_s)

    def is_expected_to_terminate(self, now_s: float) -> bool:
        """Return whether the instance announced that it leaves, so its end is no evidence."""
        has_announced = self.instance.is_leaving or self.has_announced_leaving
        return has_announced or now_s - self._last_reported_s < ALARM_TTL_S

    def is_alarmed(self, now_s: float) -> bool:
        """Return whether an alarm about the instance is current."""
        return now_s - max(self._last_reported_s, self._last_detected_s) < ALARM_TTL_S

    def raise_alarm(self, now_s: float, kind: shared_load.AlarmKind) -> bool:
        """Raise an alarm.

        :param kind: kind of the alarm. An instance may seem unreachable through a fault of the
            reporter, so such alarms are counted separately from problems that the instance reports.
        :returns: whether the alarm counts: it is new, and no false alarm of the same kind preceded
            it within the cooldown.
        """
        is_own_report = kind is shared_load.AlarmKind.UNHEALTHY
        last_s = self._last_reported_s if is_own_report else self._last_detected_s
        if now_s - last_s < ALARM_TTL_S + ALARM_COOLDOWN_S:
            return False
        if is_own_report:
            self._last_reported_s = now_s
        else:
            self._last_detected_s = now_s
        return True

    def update_load(self, load: dialects.UpstreamLoad | None, now_s: float) -> None:
        """Store the load that an answer reported, if any."""
        if load is not None:
            self._load = load
            self._load_s = now_s

    def get_reported_count(self, now_s: float) -> int:
        """Return the number of requests that the instance reported, or 0 if that is outdated."""
        if self._load is None or now_s - self._load_s > LOAD_TTL_S:
            return 0
        return self._load.running + self._load.waiting

    def record_answer(self) -> None:
        """Record an answer of the instance, which ends its series of failures."""
        self._failures = 0
        self._ejection_s = INITIAL_EJECTION_S

    def record_failure(self, now_s: float, *, is_unreachable: bool = False) -> bool:
        """Record an attempt without an answer.

        :param is_unreachable: whether no connection was made, which ejects the instance at once.
        :returns: whether the instance is ejected from now on.
        """
        self._failures += 1
        self._reporters[OWN_REPORTER] = now_s
        if self._failures < FAILURES_TO_EJECT and not is_unreachable:
            return self._eject_if_reported(now_s)
        self._eject(now_s)
        return True

    def clear_failures(self) -> None:
        """Forget failed attempts: they were caused by the entry's own connections."""
        self.record_answer()
        self._reporters.pop(OWN_REPORTER, None)
        self._ejected_until_s = 0.0

    def record_peer_failure(self, reporter: str, now_s: float) -> bool:
        """Record that another entry lost a request there.

        :returns: whether the instance is ejected from now on.
        """
        self._reporters[reporter] = now_s
        return self._eject_if_reported(now_s)

    def _eject_if_reported(self, now_s: float) -> bool:
        for reporter, heard_s in list(self._reporters.items()):
            if now_s - heard_s > REPORTER_TTL_S:
                del self._reporters[reporter]
        if len(self._reporters) < REPORTERS_TO_EJECT or now_s < self._ejected_until_s:
            return False
        self._eject(now_s)
        return True

    def _eject(self, now_s: float) -> None:
        self._reporters.clear()
        self._ejected_until_s = now_s + self._ejection_s
        self._ejection_s = min(self._ejection_s * 2, MAX_EJECTION_S)


class UpstreamRegistry:
    """All listed instances."""

    def __init__(self) -> None:
        self._evacuated_halls: frozenset[str] = frozenset()
        self._starts = latest_starts.LatestStarts()
        self._upstreams: dict[str, Upstream] = {}
        self._by_key: dict[int, Upstream] = {}
        self._by_address: dict[str, Upstream] = {}

    def get(self, incarnation_id: str) -> Upstream | None:
        """Return an incarnation of an instance, or None if it is not listed."""
        return self._upstreams.get(incarnation_id)

    def get_by_key(self, key: int) -> Upstream | None:
        """Return the instance with a datagram key, or None if it is not listed."""
        return self._by_key.get(key)

    def get_by_address(self, address: str) -> Upstream | None:
        """Return the instance at an ``IP:PORT``, or None if none is listed there."""
        return self._by_address.get(address)

    def get_service(self, service: str) -> list[Upstream]:
        """Return the instances of a service."""
        return [item for item in self._upstreams.values() if item.instance.service == service]

    def get_all(self) -> list[Upstream]:
        """Return all instances."""
        return list(self._upstreams.values())

    def update_instances(
        self, listed: Iterable[instances.Instance], now_s: float
    ) -> list[Upstream]:
        """Apply a new version of the platform's instance list.

        A previous incarnation of a restarted instance is ignored: such a list is older than one
        already applied, and the known incarnation stays.

        :returns: instances that began to leave, or are gone or restarted with requests in flight.
        """
        before = self._upstreams
        self._upstreams = {}
        leaving: list[Upstream] = []
        for instance in listed:
            if self._starts.record(instance):
                self._update_listed(instance, before, leaving, now_s)
            else:
                self._keep_current(instance, before)
        self._by_key = {item.key: item for item in self._upstreams.values()}
        self._by_address = {item.instance.address: item for item in self._upstreams.values()}
        self._starts.evict_oldest(len(self._upstreams))
        for upstream in before.values():
            upstream.is_leaving = True
            upstream.is_gone = True
            # The platform assigns an address again only after the process there has ended.
            is_reassigned = upstream.instance.address in self._by_address
            if is_reassigned or self._starts.is_previous(upstream.instance):
                upstream.has_restarted = True
            if upstream.in_flight:
                leaving.append(upstream)
        return leaving

    def set_evacuated(self, halls: frozenset[str]) -> list[Upstream]:
        """Set which halls are evacuated.

        :returns: instances of the halls that are no longer evacuated.
        """
        reopened = self._evacuated_halls - halls
        self._evacuated_halls = halls
        for upstream in self._upstreams.values():
            upstream.is_evacuated = upstream.instance.hall in halls
        return [item for item in self._upstreams.values() if item.instance.hall in reopened]

    def _update_listed(
        self,
        instance: instances.Instance,
        before: dict[str, Upstream],
        leaving: list[Upstream],
        now_s: float,
    ) -> None:
        known = before.pop(instance.incarnation_id, None)
        upstream = known if known is not None and _has_same_endpoint(known, instance) else None
        if upstream is None:
            upstream = Upstream(instance)
            if known is not None:
                # The address changed, so it is a new process, though the id is the same.
                known.has_restarted = True
                before[instance.incarnation_id] = known
        if instance.cold_ms and upstream.listed_cold is not instance:
            # Unchanged list entries are passed again with each update of the list.
            upstream.listed_cold = instance
            upstream.assume_cold(instance.cold_ms, now_s)
        upstream.instance = instance
        upstream.is_evacuated = instance.hall in self._evacuated_halls
        if instance.is_leaving and not upstream.is_leaving:
            upstream.is_leaving = True
            leaving.append(upstream)
        self._upstreams[instance.incarnation_id] = upstream

    def _keep_current(self, previous: instances.Instance, before: dict[str, Upstream]) -> None:
        incarnation_id = self._starts.get_current_incarnation_id(previous)
        upstream = before.pop(incarnation_id, None)
        if upstream is not None:
            self._upstreams[incarnation_id] = upstream


def _has_same_endpoint(upstream: Upstream, instance: instances.Instance) -> bool:
    known = upstream.instance
    return (known.address, known.service) == (instance.address, instance.service)
