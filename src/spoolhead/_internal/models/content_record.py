"""Records of request contents that may crash the instances that run them.

Processes exchange these records. Merging records of the same content is commutative, associative
and idempotent, so halls that were cut off from each other converge by exchanging them.
"""

import dataclasses
from collections.abc import Sequence

import xxhash

MAX_ENDS = 8
"""Maximum number of ends in a record: more than any decision needs."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ContentRecord:
    """State of one content.

    :ivar content_id: id of the content.
    :ivar epoch: increases each time the content is found to be harmless, and by an operator's
        order; records of earlier epochs no longer count.
    :ivar ends: keys of the instances that crashed while they ran the content, sorted and distinct.
    :ivar waves: number of waves of crashes. A crash begins a new wave if its request was sent after
        an earlier crash was recorded. So a single fault that strikes several instances at once
        counts as one wave.
    :ivar trials: number of trials, each a single run to find out whether the content is harmless.
    :ivar trier: name of the entry that was assigned the last trial; empty for none.
    :ivar is_by_hand: whether an operator has ordered the content to be held.
    """

    content_id: bytes
    epoch: int = 0
    ends: tuple[int, ...] = ()
    waves: int = 0
    trials: int = 0
    trier: str = ""
    is_by_hand: bool = False

    @property
    def is_suspect(self) -> bool:
        """Whether the content has crashed instances or is held by an operator."""
        return bool(self.ends) or self.is_by_hand

    @property
    def digest(self) -> int:
        """64-bit hash of the record."""
        values = (
            self.epoch,
            self.ends,
            self.waves,
            self.trials,
            self.trier,
            self.is_by_hand,
        )
        return xxhash.xxh3_64_intdigest(self.content_id + repr(values).encode())


class AgedRecord:
    """A record with its age, as processes send it; their clocks differ.

    :ivar record: the record.
    :ivar age_ms: time since the record last changed.
    """

    __slots__ = ("age_ms", "record")

    def __init__(self, record: ContentRecord, age_ms: int) -> None:
        self.record = record
        self.age_ms = age_ms


def begin_epoch(
    content_id: bytes, previous: ContentRecord | None, *, is_by_hand: bool = False
) -> ContentRecord:
    """Return a record that supersedes everything known of a content."""
    epoch = previous.epoch + 1 if previous is not None else 1
    return ContentRecord(content_id=content_id, epoch=epoch, is_by_hand=is_by_hand)


def merge(one: ContentRecord, other: ContentRecord) -> ContentRecord:
    """Return the merged record of two records of the same content."""
    if one.epoch != other.epoch:
        return max(one, other, key=lambda item: item.epoch)
    # Halls that are cut off from each other may assign the same trial to different entries. The
    # entry whose name sorts first has it.
    latest_trial = min((one, other), key=lambda item: (-item.trials, item.trier))
    return ContentRecord(
        content_id=one.content_id,
        epoch=one.epoch,
        ends=tuple(sorted({*one.ends, *other.ends})[:MAX_ENDS]),
        waves=max(one.waves, other.waves),
        trials=latest_trial.trials,
        trier=latest_trial.trier,
        is_by_hand=one.is_by_hand or other.is_by_hand,
    )


def pack(items: Sequence[AgedRecord]) -> list[list[object]]:
    """Return the encoding of records in messages."""
    return [
        [
            item.record.content_id,
            item.record.epoch,
            list(item.record.ends),
            item.record.waves,
            item.record.trials,
            item.record.trier,
            item.record.is_by_hand,
            item.age_ms,
        ]
        for item in items
    ]


def unpack(values: list) -> list[AgedRecord]:
    """Decode records from a message.

    :raises ValueError: if the values are not valid.
    :raises TypeError: if the values are not valid.
    """
    return [_unpack_one(*item) for item in values]


def _unpack_one(
    content_id: object,
    epoch: int,
    ends: list,
    waves: int,
    trials: int,
    trier: object,
    is_by_hand: object,
    age_ms: int,
) -> AgedRecord:
    if not isinstance(content_id, bytes) or not all(type(end) is int for end in ends):
        raise ValueError("invalid content record")
    record = ContentRecord(
        content_id=content_id,
        epoch=int(epoch),
        ends=tuple(sorted(set(ends))[:MAX_ENDS]),
        waves=int(waves),
        trials=int(trials),
        trier=str(trier),
        is_by_hand=bool(is_by_hand),
    )
    return AgedRecord(record, int(age_ms))
