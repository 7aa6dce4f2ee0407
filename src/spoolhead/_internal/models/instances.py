"""Upstream instances as the platform lists them."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Instance:
    """An incarnation of an upstream instance: the time from one start to the next.

    An instance that is restarted may keep its id. State known from before does not apply then, so
    all state of an instance is kept under its :attr:`incarnation_id`.

    :ivar instance_id: id of the instance.
    :ivar service: service of the instance.
    :ivar address: ``IP:PORT``.
    :ivar hall: hall of the instance.
    :ivar slots: number of requests that the instance can run at once.
    :ivar is_leaving: whether the instance is drained and accepts no new requests.
    :ivar cold_ms: remaining time for which the instance is cold, counted from the time at which the
        list was read; 0 if it is not cold.
    :ivar started_ms: Unix time at which the instance started, in milliseconds; 0 if not listed.
    """

    instance_id: str
    service: str
    address: str
    hall: str
    slots: int
    is_leaving: bool
    cold_ms: int = 0
    started_ms: int = 0

    @property
    def incarnation_id(self) -> str:
        """Id of this incarnation; equals ``instance_id`` if the time of the start is not listed."""
        return f"{self.instance_id}@{self.started_ms}" if self.started_ms else self.instance_id


_FIELDS = tuple(field.name for field in dataclasses.fields(Instance))


def pack(instances: list[Instance]) -> list[list[object]]:
    """Return the encoding of instances in messages."""
    return [[getattr(item, name) for name in _FIELDS] for item in instances]


def unpack(values: list[list[object]]) -> list[Instance]:
    """Decode instances from a message.

    :raises ValueError: if a field is missing or has a wrong type.
    """
    return [_unpack_one(value) for value in values]


def _unpack_one(value: list[object]) -> Instance:
    types = [field.type for field in dataclasses.fields(Instance)]
    if len(value) != len(types):
        raise ValueError(f"instance has {len(value)} fields")
    for name, kind, item in zip(_FIELDS, types, value, strict=True):
        if not isinstance(item, kind):
            raise ValueError(f"{name} of an instance has type {type(item).__name__}")
    return Instance(**dict(zip(_FIELDS, value, strict=True)))


def remove_duplicates(listed: list[Instance], before: dict[str, Instance]) -> list[Instance]:
    """Return one instance for each id.

    If an id is listed more than once, the instance with the latest start is kept. Among instances
    with the same start, the instance that has the address and service of the previous list is kept,
    or the first one if none has. An instance that is listed in two states is leaving: the list
    changes while its pages are read, and an instance that leaves does not come back.

    :param before: instances of the previous list by id.
    """
    chosen: dict[str, Instance] = {}
    for item in listed:
        other = chosen.get(item.instance_id)
        if other is None or _is_preferred(item, other, before.get(item.instance_id)):
            chosen[item.instance_id] = item
    return list(chosen.values())


def _is_preferred(item: Instance, other: Instance, known: Instance | None) -> bool:
    if item.started_ms != other.started_ms:
        return item.started_ms > other.started_ms
    if _is_same(item, other):
        return item.is_leaving and not other.is_leaving
    return known is not None and _is_same(item, known) and not _is_same(other, known)


def _is_same(one: Instance, other: Instance) -> bool:
    return (one.service, one.address) == (other.service, other.address)
