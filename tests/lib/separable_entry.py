"""An entry of the platform whose connections to instances go to the forwarders of a test."""

import json
import os
import pathlib

from spoolhead._internal.network import links
from spoolhead.platform import entry

MAP_VARIABLE = "SPOOLHEAD_TEST_FORWARDERS"
"""Names the file with the address of the forwarder for each instance's address."""


def _redirect():
    path = pathlib.Path(os.environ[MAP_VARIABLE])
    open_link = links.Links.open

    def _open(self, address, listener, *, connect_ms):
        forwarders = json.loads(path.read_text())
        link = open_link(self, forwarders.get(address, address), listener, connect_ms=connect_ms)
        # Idle connections are pooled by the instance's address.
        link.address = address
        return link

    links.Links.open = _open


if __name__ == "__main__":
    _redirect()
    entry.main()
