"""Parses addresses of the form ``IP:PORT``."""

import ipaddress

Endpoint = tuple[str, int]
"""IP address and port, as passed to sockets."""
MAX_PORT = 65_535


def split(address: str) -> Endpoint:
    """Return the endpoint of an address.

    :param address: ``IP:PORT``.
    :raises ValueError: if the text after the last colon is not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def is_address(address: str) -> bool:
    """Return whether a text is ``IP:PORT`` with a valid IPv4 address and a port from 1 on."""
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    if not is_number or not 0 < int(port) <= MAX_PORT:
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
