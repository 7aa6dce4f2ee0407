"""Where a process can be reached, as settings write it and as sockets take it."""

Endpoint = tuple[str, int]
"""IP number and port."""


def split(address: str) -> Endpoint:
    """Return the endpoint that an address names.

    :param address: ``IP:PORT``.
    :raises ValueError: if what stands behind the last colon is no number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
