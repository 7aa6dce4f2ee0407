"""Copies of one run's memory, by what they are used for."""

from spoolhead._internal.gateway import memory_copy
from spoolhead._internal.policy import upstream_registry


class ReadyCopy:
    """A copy of a run's memory from which the run can resume.

    :ivar upstream: the instance that stores the copy.
    :ivar address: ``IP:PORT`` of the source; identifies the copy together with the handle.
    :ivar handle: handle of the copy.
    """

    __slots__ = ("address", "handle", "upstream")

    def __init__(self, upstream: upstream_registry.Upstream, address: str, handle: str) -> None:
        self.upstream = upstream
        self.address = address
        self.handle = handle


class HeldCopy:
    """A copy and the instance that stores it."""

    __slots__ = ("copy", "target")

    def __init__(self, target: upstream_registry.Upstream, copy: memory_copy.MemoryCopy) -> None:
        self.target = target
        self.copy = copy

    @property
    def is_usable(self) -> bool:
        """Whether the run can resume from the copy."""
        return bool(self.copy.handle) and not (self.target.is_gone or self.target.is_evacuated)


class ResumedCopy:
    """The copy from which a run has resumed.

    :ivar copy: the copy; its order to stop the run may still be pending.
    :ivar used_handle: the handle from which the run has resumed.
    :ivar is_awaited: the run waits for the update that this order makes.
    """

    __slots__ = ("copy", "is_awaited", "target", "used_handle")

    def __init__(
        self, target: upstream_registry.Upstream, copy: memory_copy.MemoryCopy, used_handle: str
    ) -> None:
        self.target = target
        self.copy = copy
        self.used_handle = used_handle
        self.is_awaited = False
