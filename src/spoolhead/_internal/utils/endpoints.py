"""Where a process can be reached, as settings write it and as sockets take it."""

import ipaddress

Endpoint = tuple[str, int]
"""IP number and port."""
MAX_PORT = 65_535


def split(address: str) -> Endpoint:
    """Return the endpoint that an address names.

    :param address: ``IP:PORT``.
    :raises ValueError: if what stands behind the last colon is no number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def is_address(address: str) -> bool:
    """Tell whether a text is ``IP:PORT``, with an IPv4 number and a port that can be used."""
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    if not is_number or not 0 < int(port) <= MAX_PORT:
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
