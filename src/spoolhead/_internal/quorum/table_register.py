"""The replicated route table with the highest version; performs no I/O."""

import msgpack


def pack_change(version: int, document: bytes) -> bytes:
    """Return the serialized form of a route table in the log."""
    return msgpack.packb([version, document])


class TableRegister:
    """Holds the committed route table with the highest version.

    :ivar version: version of the table; 0 before the first one.
    :ivar document: bytes of the table.
    """

    def __init__(self) -> None:
        self.version = 0
        self.document = b""

    def apply(self, data: bytes) -> None:
        """Apply a committed table; ignored unless its version is higher than the current one."""
        version, document = msgpack.unpackb(data)
        if version > self.version:
            self.version = version
            self.document = document

    def dump(self) -> bytes:
        """Return the serialized state."""
        return pack_change(self.version, self.document)

    def load(self, state: bytes) -> None:
        """Replace the state by a snapshot that includes everything committed so far."""
        version, document = msgpack.unpackb(state)
        self.version = version
        self.document = document
