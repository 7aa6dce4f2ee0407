"""Upstream instances as the platform lists them."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Instance:
    """One run of one upstream.

    An upstream that is started again may keep its id. What was known of it then is void, so all
    that is remembered of an instance is remembered by :attr:`incarnation_id`.

    :ivar instance_id: its id.
    :ivar service: service that it belongs to.
    :ivar address: ``IP:PORT``.
    :ivar hall: hall it stands in.
    :ivar slots: requests that it works on at once.
    :ivar is_leaving: it is being emptied and takes no new work.
    :ivar cold_ms: how much longer it is cold, counted from the reading of the list; 0 if it is
        not.
    :ivar started_ms: Unix time of its start; 0 where that is not told.
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
        """Name of this run; the id alone where its start is not told."""
        return f"{self.instance_id}@{self.started_ms}" if self.started_ms else self.instance_id


_FIELDS = tuple(field.name for field in dataclasses.fields(Instance))


def pack(instances: list[Instance]) -> list[list[object]]:
    """Return the form in messages."""
    return [[getattr(item, name) for name in _FIELDS] for item in instances]


def unpack(values: list[list[object]]) -> list[Instance]:
    """Read the form in messages.

    :raises ValueError: if a field is missing or of another type.
    """
    return [_unpack_one(value) for value in values]


def _unpack_one(value: list[object]) -> Instance:
    types = [field.type for field in dataclasses.fields(Instance)]
    if len(value) != len(types):
        raise ValueError(f"an instance with {len(value)} fields")
    for name, kind, item in zip(_FIELDS, types, value, strict=True):
        if not isinstance(item, kind):
            raise ValueError(f"{name} is a {type(item).__name__}")
    return Instance(**dict(zip(_FIELDS, value, strict=True)))


def remove_duplicates(listed: list[Instance], before: dict[str, Instance]) -> list[Instance]:
    """Return one instance for each id.

    Where an id is listed more than once, its latest start holds; with the same start, what the
    reading before said of its address and service; otherwise the first.

    :param before: the reading before, by id.
    """
    kept: dict[str, Instance] = {}
    for item in listed:
        other = kept.get(item.instance_id)
        if other is None or _is_preferred(item, other, before.get(item.instance_id)):
            kept[item.instance_id] = item
    return list(kept.values())


def _is_preferred(item: Instance, other: Instance, known: Instance | None) -> bool:
    if item.started_ms != other.started_ms:
        return item.started_ms > other.started_ms
    return known is not None and _is_same(item, known) and not _is_same(other, known)


def _is_same(one: Instance, other: Instance) -> bool:
    return (one.service, one.address) == (other.service, other.address)
