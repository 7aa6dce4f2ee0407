"""The replicated state: the route table with the highest version; no I/O."""

import msgpack


def pack_change(version: int, document: bytes) -> bytes:
    """Return the log's form of a route table."""
    return msgpack.packb([version, document])


class TableRegister:
    """Holds the table with the highest version of all that were committed.

    :ivar version: its version; 0 before the first.
    :ivar document: its bytes.
    """

    def __init__(self) -> None:
        self.version = 0
        self.document = b""

    def apply(self, data: bytes) -> None:
        """Take a committed table; one that is not newer changes nothing."""
        version, document = msgpack.unpackb(data)
        if version > self.version:
            self.version = version
            self.document = document

    def dump(self) -> bytes:
        """Return the whole state."""
        return pack_change(self.version, self.document)

    def load(self, state: bytes) -> None:
        """Take over a state that includes everything committed so far."""
        version, document = msgpack.unpackb(state)
        self.version = version
        self.document = document
