"""Upstream instances as the platform lists them."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Instance:
    """One run of one upstream; a restarted upstream is another instance.

    :ivar instance_id: its id.
    :ivar service: service that it belongs to.
    :ivar address: ``IP:PORT``.
    :ivar hall: hall it stands in.
    :ivar slots: requests that it works on at once.
    :ivar is_leaving: it is being emptied and takes no new work.
    :ivar is_slow: it has started not long ago and is still slow.
    """

    instance_id: str
    service: str
    address: str
    hall: str
    slots: int
    is_leaving: bool
    is_slow: bool


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
