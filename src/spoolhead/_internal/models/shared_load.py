"""Datagrams by which processes share the load that entries put on the instances.

Each entry reports its load to one hub. Hubs send the totals of their reporters to each other, and
each hub sends the totals of all entries to its reporters. All values are absolute, so a later
datagram makes up for a lost one. The datagrams also contain records of contents that may crash
instances, see :mod:`spoolhead._internal.policy.content_registry`, rate limits that instances stated
and typical paces of instances.
"""

import enum
from collections.abc import Iterable, Sequence

import msgpack
import xxhash

from spoolhead._internal.models import content_record, instance_pace, permits, rate_limit

MAX_DATAGRAM_BYTES = 60_000
"""Maximum size of a datagram; receivers cut off the rest."""
MAX_ROW_VALUE = 2**40
"""Maximum of a value in a row, so that sums over all entries fit into a datagram."""
_ROW_FIELDS = 5
REPORT = 11
TOTALS = 12
UPDATE = 13
"""Tags of the datagrams; another layout of the fields takes other tags, so that processes of
different versions reject each other's datagrams instead of misreading them."""


def get_key(incarnation_id: str) -> int:
    """Return the key that stands for an incarnation of an instance in datagrams.

    The key is a hash of four bytes: half the size of the ids in use, without coordination. Among
    1,600 instances, the probability that two share a key is 3 in 10,000; their loads are then added
    up.
    """
    return xxhash.xxh32_intdigest(incarnation_id.encode())


class InstanceLoad:
    """Load of requests in flight at one instance.

    :ivar tokens: memory that the requests use or will use, in tokens.
    :ivar count: number of requests.
    :ivar prefill_tokens: tokens of prompts that were not processed yet.
    :ivar answer_tokens: tokens that the requests are expected to generate in total.
    """

    __slots__ = ("answer_tokens", "count", "prefill_tokens", "tokens")

    def __init__(
        self, tokens: int = 0, count: int = 0, prefill_tokens: int = 0, answer_tokens: int = 0
    ) -> None:
        self.tokens = tokens
        self.count = count
        self.prefill_tokens = prefill_tokens
        self.answer_tokens = answer_tokens

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, InstanceLoad):
            return NotImplemented
        return self._get_values() == other._get_values()

    def __hash__(self) -> int:
        return hash(self._get_values())

    def __bool__(self) -> bool:
        return any(self._get_values())

    def add(self, other: "InstanceLoad", sign: int = 1) -> None:
        """Add another load, or subtract it with a sign of -1."""
        self.tokens += sign * other.tokens
        self.count += sign * other.count
        self.prefill_tokens += sign * other.prefill_tokens
        self.answer_tokens += sign * other.answer_tokens

    def copy(self) -> "InstanceLoad":
        """Return an independent copy."""
        return InstanceLoad(*self._get_values())

    def _get_values(self) -> tuple[int, int, int, int]:
        return self.tokens, self.count, self.prefill_tokens, self.answer_tokens


LoadByInstance = dict[int, InstanceLoad]
"""Load by instance, under the keys of :func:`get_key`."""


class AlarmKind(enum.IntEnum):
    """Condition of an instance that other entries must know of."""

    UNHEALTHY = 1
    """The instance reports itself as unhealthy."""
    UNREACHABLE = 2
    """The instance's health check failed without an answer."""
    LOST_REQUEST = 3
    """The instance accepted a request and gave no answer."""
    COLD = 4
    """The instance reports itself as cold."""
    REPLACED = 5
    """Another instance answers at the instance's address."""
    ENDED = 6
    """The instance lost a request and refuses connections, so its process has terminated."""
    RESTING = 7
    """The instance refused a request and asked for a pause."""
    LEAVING = 8
    """The instance reports that it is leaving."""


class Alarm:
    """Notice about the condition of an instance.

    :ivar incarnation_id: incarnation of the instance.
    :ivar kind: the condition.
    :ivar reporter: name of the entry that detected it.
    :ivar sequence: increases with each alarm of that entry, also across its restarts.
    :ivar for_ms: time for which the instance is cold or resting, for these kinds.
    """

    __slots__ = ("reporter", "for_ms", "kind", "incarnation_id", "sequence")

    def __init__(
        self, incarnation_id: str, kind: AlarmKind, *, reporter: str, sequence: int, for_ms: int = 0
    ) -> None:
        self.incarnation_id = incarnation_id
        self.kind = kind
        self.reporter = reporter
        self.sequence = sequence
        self.for_ms = for_ms


class ContentUpdate:
    """Records of contents that may crash instances, as a process sends them.

    :ivar records: some of the records of the sender.
    :ivar digest: digest of all its records.
    """

    __slots__ = ("digest", "records")

    def __init__(self, records: Sequence[content_record.AgedRecord] = (), digest: int = 0) -> None:
        self.records = list(records)
        self.digest = digest


class HallAge:
    """Time since the entries of a hall were last heard.

    :ivar hall: name of the hall.
    :ivar age_ms: time since any of its entries was heard.
    """

    __slots__ = ("age_ms", "hall")

    def __init__(self, hall: str, age_ms: int) -> None:
        self.hall = hall
        self.age_ms = age_ms


class Report:
    """Load of one entry, sent to a hub.

    :ivar sender: name of the entry.
    :ivar hall: hall of the entry.
    :ivar sequence: increases with each report, also across restarts.
    :ivar is_reporter: whether the hub must count the load and send updates. If not, the report only
        shows that the entry is alive, and a hub that counted its load before removes that load.
    :ivar rows: complete load of the entry.
    :ivar alarms: recent alarms of the entry.
    :ivar contents: records of contents.
    :ivar limits: rate limits that instances stated.
    :ivar paces: typical paces of instances.
    :ivar wants_snapshot: whether the entry has not yet received the complete state of the hub.
    """

    __slots__ = (
        "alarms",
        "contents",
        "hall",
        "is_reporter",
        "limits",
        "paces",
        "rows",
        "sender",
        "sequence",
        "wants_snapshot",
    )

    def __init__(
        self,
        *,
        sender: str,
        hall: str,
        sequence: int,
        is_reporter: bool,
        rows: LoadByInstance,
        alarms: Sequence[Alarm],
        contents: ContentUpdate | None = None,
        limits: Sequence[rate_limit.AgedLimit] = (),
        paces: Sequence[instance_pace.AgedPace] = (),
        wants_snapshot: bool = False,
    ) -> None:
        self.contents = contents or ContentUpdate()
        self.limits = list(limits)
        self.paces = list(paces)
        self.wants_snapshot = wants_snapshot
        self.sender = sender
        self.hall = hall
        self.sequence = sequence
        self.is_reporter = is_reporter
        self.rows = rows
        self.alarms = alarms


class Totals:
    """Total load of a hub's reporters, sent to the other hubs in parts.

    :ivar hub: name of the hub.
    :ivar sequence: increases with each datagram, also across restarts.
    :ivar rows: part of the totals, including those that changed.
    :ivar ages: ages of the halls whose entries report to this hub.
    :ivar alarms: alarms of its reporters.
    :ivar contents: records of contents.
    :ivar limits: rate limits that instances stated.
    :ivar paces: typical paces of instances.
    """

    __slots__ = ("ages", "alarms", "contents", "hub", "limits", "paces", "rows", "sequence")

    def __init__(
        self,
        *,
        hub: str,
        sequence: int,
        rows: LoadByInstance,
        ages: Sequence[HallAge],
        alarms: Sequence[Alarm],
        contents: ContentUpdate | None = None,
        limits: Sequence[rate_limit.AgedLimit] = (),
        paces: Sequence[instance_pace.AgedPace] = (),
    ) -> None:
        self.contents = contents or ContentUpdate()
        self.limits = list(limits)
        self.paces = list(paces)
        self.hub = hub
        self.sequence = sequence
        self.rows = rows
        self.ages = ages
        self.alarms = alarms


class Update:
    """Total load of all entries, sent by a hub to its reporters in parts.

    :ivar hub: name of the hub.
    :ivar sequence: increases with each datagram, also across restarts.
    :ivar rows: part of the totals, including those that changed.
    :ivar ages: ages of all known halls.
    :ivar alarms: alarms of all entries.
    :ivar counted: sequence of the receiver's latest report that the totals include.
    :ivar contents: records of contents.
    :ivar limits: rate limits that instances stated.
    :ivar paces: typical paces of instances.
    :ivar is_snapshot: whether the update holds the complete state of the hub, not a part.
    """

    __slots__ = (
        "ages",
        "alarms",
        "contents",
        "counted",
        "hub",
        "is_snapshot",
        "limits",
        "paces",
        "rows",
        "sequence",
    )

    def __init__(
        self,
        *,
        sequence: int,
        rows: LoadByInstance,
        ages: Sequence[HallAge],
        alarms: Sequence[Alarm],
        counted: int = 0,
        contents: ContentUpdate | None = None,
        limits: Sequence[rate_limit.AgedLimit] = (),
        paces: Sequence[instance_pace.AgedPace] = (),
        hub: str = "",
        is_snapshot: bool = False,
    ) -> None:
        self.contents = contents or ContentUpdate()
        self.limits = list(limits)
        self.paces = list(paces)
        self.is_snapshot = is_snapshot
        self.hub = hub
        self.sequence = sequence
        self.rows = rows
        self.ages = ages
        self.alarms = alarms
        self.counted = counted


Message = Report | Totals | Update | permits.PermitRequest | permits.PermitReply


def encode_report(report: Report) -> bytes:
    """Return a report as a datagram."""
    fields = [report.sender, report.hall, report.sequence, report.is_reporter]
    fields += [_pack_rows(report.rows), _pack_alarms(report.alarms)]
    fields += [_pack_contents(report.contents), rate_limit.pack(report.limits)]
    fields.append(report.wants_snapshot)
    return msgpack.packb([REPORT, *fields, *_pack_paces(report.paces)])


def encode_totals(totals: Totals) -> bytes:
    """Return a hub's totals as a datagram."""
    rows, alarms = _pack_rows(totals.rows), _pack_alarms(totals.alarms)
    contents, limits = _pack_contents(totals.contents), rate_limit.pack(totals.limits)
    fields = [totals.hub, totals.sequence, rows, _pack_ages(totals.ages), alarms, contents, limits]
    return msgpack.packb([TOTALS, *fields, *_pack_paces(totals.paces)])


def encode_update(update: Update) -> bytes:
    """Return the part of an update's datagram that is the same for all reporters."""
    rows, alarms = _pack_rows(update.rows), _pack_alarms(update.alarms)
    contents, limits = _pack_contents(update.contents), rate_limit.pack(update.limits)
    fields = [update.hub, update.sequence, rows, _pack_ages(update.ages), alarms, contents, limits]
    fields.append(update.is_snapshot)
    return msgpack.packb([UPDATE, *fields, *_pack_paces(update.paces)])


def complete_update(encoded: bytes, counted: int) -> bytes:
    """Return an update as a datagram for one reporter.

    :param encoded: result of :func:`encode_update`.
    :param counted: sequence of the reporter's latest report that the totals include.
    """
    return encoded + msgpack.packb(counted)


def decode(data: bytes) -> Message:
    """Decode a datagram.

    :raises ValueError: if it is not valid.
    """
    unpacker = msgpack.Unpacker()
    unpacker.feed(data)
    try:
        values = list(unpacker)
        tag, *fields = values[0]
        if tag == REPORT:
            return _read_report(*fields)
        if tag == TOTALS:
            return _read_totals(*fields)
        if tag == UPDATE:
            return _read_update(*fields, counted=int(values[1]))
        if tag == permits.REQUEST:
            return permits.read_permit_request(*fields)
        if tag == permits.REPLY:
            return permits.read_reply(*fields)
    except (TypeError, IndexError, OverflowError, msgpack.UnpackException) as error:
        raise ValueError(str(error)) from error
    raise ValueError("unknown kind of datagram")


def _read_report(
    sender: object,
    hall: object,
    sequence: int,
    is_reporter: object,
    rows: list,
    alarms: list,
    contents: list,
    limits: list,
    wants_snapshot: object,
    paces: Sequence[int] = (),
) -> Report:
    return Report(
        sender=str(sender),
        hall=str(hall),
        sequence=int(sequence),
        is_reporter=bool(is_reporter),
        rows=_unpack_rows(rows),
        alarms=_unpack_alarms(alarms),
        contents=_unpack_contents(contents),
        limits=rate_limit.unpack(limits),
        paces=instance_pace.unpack(list(paces)),
        wants_snapshot=bool(wants_snapshot),
    )


def _read_totals(
    hub: object,
    sequence: int,
    rows: list,
    ages: list,
    alarms: list,
    contents: list,
    limits: list,
    paces: Sequence[int] = (),
) -> Totals:
    return Totals(
        hub=str(hub),
        sequence=int(sequence),
        rows=_unpack_rows(rows),
        ages=_unpack_ages(ages),
        alarms=_unpack_alarms(alarms),
        contents=_unpack_contents(contents),
        limits=rate_limit.unpack(limits),
        paces=instance_pace.unpack(list(paces)),
    )


def _read_update(
    hub: object,
    sequence: int,
    rows: list,
    ages: list,
    alarms: list,
    contents: list,
    limits: list,
    is_snapshot: object,
    paces: Sequence[int] = (),
    *,
    counted: int,
) -> Update:
    return Update(
        hub=str(hub),
        contents=_unpack_contents(contents),
        limits=rate_limit.unpack(limits),
        paces=instance_pace.unpack(list(paces)),
        sequence=int(sequence),
        rows=_unpack_rows(rows),
        ages=_unpack_ages(ages),
        alarms=_unpack_alarms(alarms),
        counted=counted,
        is_snapshot=bool(is_snapshot),
    )


def _pack_rows(rows: LoadByInstance) -> list[int]:
    values: list[int] = []
    for key, load in rows.items():
        values += (key, load.tokens, load.count, load.prefill_tokens, load.answer_tokens)
    return values


def _unpack_rows(values: list) -> LoadByInstance:
    if len(values) % _ROW_FIELDS or not all(type(value) is int for value in values):
        raise ValueError("load rows have a wrong number or type of fields")
    rows: LoadByInstance = {}
    for start in range(0, len(values), _ROW_FIELDS):
        key, *load = values[start : start + _ROW_FIELDS]
        if any(abs(value) > MAX_ROW_VALUE for value in load):
            raise ValueError("a value of a load row is out of range")
        rows[key] = InstanceLoad(*load)
    return rows


def _pack_ages(ages: Iterable[HallAge]) -> list[list[object]]:
    return [[age.hall, age.age_ms] for age in ages]


def _unpack_ages(values: list) -> list[HallAge]:
    return [HallAge(str(hall), int(age_ms)) for hall, age_ms in values]


def _pack_contents(contents: ContentUpdate) -> list[object]:
    return [content_record.pack(contents.records), contents.digest]


def _unpack_contents(values: list) -> ContentUpdate:
    records, digest = values
    return ContentUpdate(content_record.unpack(records), int(digest))


def _pack_paces(paces: Sequence[instance_pace.AgedPace]) -> list[list[int]]:
    """Return the last field of a datagram, which is omitted if there are no paces."""
    return [instance_pace.pack(paces)] if paces else []


def _pack_alarms(alarms: Iterable[Alarm]) -> list[list[object]]:
    return [
        [item.incarnation_id, int(item.kind), item.reporter, item.sequence, item.for_ms]
        for item in alarms
    ]


def _unpack_alarms(values: list) -> list[Alarm]:
    return [
        Alarm(
            str(incarnation_id),
            AlarmKind(kind),
            reporter=str(reporter),
            sequence=int(sequence),
            for_ms=int(for_ms),
        )
        for incarnation_id, kind, reporter, sequence, for_ms in values
    ]
