"""What entries tell each other of the work that they hold at the instances."""

import enum

import msgpack

_HELD_FIELDS = 4


class Held:
    """Work at one instance.

    :ivar instance_id: the instance.
    :ivar tokens: memory that it holds or will hold, in tokens.
    :ivar count: requests.
    :ivar reading_tokens: tokens of prompts that are still to be read.
    """

    __slots__ = ("count", "instance_id", "reading_tokens", "tokens")

    def __init__(self, instance_id: str, tokens: int, count: int, reading_tokens: int) -> None:
        self.instance_id = instance_id
        self.tokens = tokens
        self.count = count
        self.reading_tokens = reading_tokens

    def add(self, other: "Held", sign: int = 1) -> None:
        """Add other work, or take it off with a sign of -1."""
        self.tokens += sign * other.tokens
        self.count += sign * other.count
        self.reading_tokens += sign * other.reading_tokens

    def clear(self) -> None:
        """Count nothing."""
        self.tokens = 0
        self.count = 0
        self.reading_tokens = 0


class AlarmKind(enum.IntEnum):
    """What is wrong with an instance."""

    SAID = 1
    """It says itself that it is not well."""
    UNREACHABLE = 2
    """Its health could not be asked."""
    LOST_REQUEST = 3
    """It took a request and gave no answer."""


class Alarm:
    """An instance that was found bad.

    :ivar instance_id: its id.
    :ivar kind: what is wrong.
    """

    __slots__ = ("instance_id", "kind")

    def __init__(self, instance_id: str, kind: AlarmKind) -> None:
        self.instance_id = instance_id
        self.kind = kind


class Share:
    """One datagram.

    :ivar sender: name of the entry that made it.
    :ivar hall: hall of that entry.
    :ivar is_sum: it tells what all entries of the hall hold, not the sender alone.
    :ivar sequence: rises with each that the sender makes, across its restarts.
    :ivar held: the work.
    :ivar members: entries that a sum counts.
    :ivar alarms: instances that the sender has just found bad.
    """

    __slots__ = ("alarms", "hall", "held", "is_sum", "members", "sender", "sequence")

    def __init__(
        self,
        *,
        sender: str,
        hall: str,
        is_sum: bool,
        sequence: int,
        held: list[Held],
        members: list[str],
        alarms: list[Alarm],
    ) -> None:
        self.sender = sender
        self.hall = hall
        self.is_sum = is_sum
        self.sequence = sequence
        self.held = held
        self.members = members
        self.alarms = alarms


def encode(share: Share) -> bytes:
    """Write a datagram."""
    held = [[item.instance_id, item.tokens, item.count, item.reading_tokens] for item in share.held]
    fields = [share.sender, share.hall, share.is_sum, share.sequence, held]
    alarms = [[alarm.instance_id, int(alarm.kind)] for alarm in share.alarms]
    return msgpack.packb([*fields, share.members, alarms])


def decode(data: bytes) -> Share:
    """Read a datagram.

    :raises ValueError: if it is none.
    """
    try:
        sender, hall, is_sum, sequence, held, members, alarms = msgpack.unpackb(data)
        share = Share(
            sender=str(sender),
            hall=str(hall),
            is_sum=bool(is_sum),
            sequence=int(sequence),
            held=[_read_held(item) for item in held],
            members=[str(name) for name in members],
            alarms=[Alarm(str(name), AlarmKind(kind)) for name, kind in alarms],
        )
    except (TypeError, msgpack.UnpackException) as error:
        raise ValueError(str(error)) from error
    return share


def _read_held(item: list[object]) -> Held:
    instance_id, *numbers = item
    if len(item) != _HELD_FIELDS or not all(isinstance(number, int) for number in numbers):
        raise ValueError("a share with odd numbers")
    return Held(str(instance_id), *numbers)  # type: ignore[arg-type]
