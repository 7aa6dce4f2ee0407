"""What is known of a request's content that may end the instances which run it.

Processes tell each other such records. Two records of one content merge into one, in whatever order
and however often they come, so halls that were cut off from each other need nothing more to agree.
"""

import dataclasses
from collections.abc import Sequence

import xxhash

MAX_ENDS = 8
"""Ends kept in a record: more than are ever needed to decide."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ContentRecord:
    """What is known of one content.

    :ivar content_id: its name.
    :ivar epoch: rises each time the content is found to be sound, and by order; what was known in
        an earlier epoch no longer counts.
    :ivar ends: numbers of the instances that ended while they ran it, in order, each once.
    :ivar waves: how often that came about after what was known before, so that it cannot have been
        one fault which struck several instances.
    :ivar trials: how often it was given a run by itself to show whether it is sound.
    :ivar trier: name of the entry that was given the last of these; empty for none.
    :ivar is_by_hand: an operator has it held.
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
        """Whether anything speaks against the content."""
        return bool(self.ends) or self.is_by_hand

    @property
    def digest(self) -> int:
        """Number that equal records have in common, and hardly any others."""
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
    """A record as it is told: with its age, since clocks of processes differ.

    :ivar record: the record.
    :ivar age_ms: time since it last changed.
    """

    __slots__ = ("age_ms", "record")

    def __init__(self, record: ContentRecord, age_ms: int) -> None:
        self.record = record
        self.age_ms = age_ms


def begin_epoch(
    content_id: bytes, previous: ContentRecord | None, *, is_by_hand: bool = False
) -> ContentRecord:
    """Return a record that makes all that was known of a content void."""
    epoch = previous.epoch + 1 if previous is not None else 1
    return ContentRecord(content_id=content_id, epoch=epoch, is_by_hand=is_by_hand)


def merge(one: ContentRecord, other: ContentRecord) -> ContentRecord:
    """Return what two records of one content come to."""
    if one.epoch != other.epoch:
        return max(one, other, key=lambda item: item.epoch)
    # Of entries that were given the same run, as in halls that are cut off, the first has it.
    tried = min((one, other), key=lambda item: (-item.trials, item.trier))
    return ContentRecord(
        content_id=one.content_id,
        epoch=one.epoch,
        ends=tuple(sorted({*one.ends, *other.ends})[:MAX_ENDS]),
        waves=max(one.waves, other.waves),
        trials=tried.trials,
        trier=tried.trier,
        is_by_hand=one.is_by_hand or other.is_by_hand,
    )


def pack(items: Sequence[AgedRecord]) -> list[list[object]]:
    """Return the form in messages."""
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
    """Read the form in messages.

    :raises ValueError: if it is none.
    :raises TypeError: if it is none.
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
        raise ValueError("not a content's record")
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
