"""Poller that can call a function for a readable socket instead of firing an event.

Firing and handling one event costs about as much as the whole relay of a token. Reads from
upstreams are the one place with so many of them that it counts; everything else goes the event
library's way.
"""

import select
import socket
from collections.abc import Callable

from circuits.core import events, pollers

Reader = Callable[[socket.socket], None]


class DirectPoller(pollers.EPoll):
    """EPoll with direct readers.

    :param before_dispatch: called before anything that has arrived is handled.
    """

    def __init__(self, before_dispatch: Callable[[], None] = lambda: None) -> None:
        super().__init__()
        self._before_dispatch = before_dispatch
        self._direct: dict[socket.socket, Reader] = {}

    def add_direct_reader(self, source: object, sock: socket.socket, reader: Reader) -> None:
        """Call a function whenever a socket can be read.

        :param source: component whose channel gets the socket's other events.
        :param reader: called with the socket.
        """
        self._direct[sock] = reader
        self.addReader(source, sock)

    def discard(self, fd: socket.socket) -> None:
        """Forget a socket."""
        self._direct.pop(fd, None)
        super().discard(fd)

    def _process(self, fileno: int, event: int) -> None:
        self._before_dispatch()
        reader = self._direct.get(self._map.get(fileno)) if event == select.EPOLLIN else None
        if reader is None:
            super()._process(fileno, event)
            return
        try:
            reader(self._map[fileno])
        except Exception as error:
            self.fire(events.exception(type(error), error, error.__traceback__, None, None), "*")
