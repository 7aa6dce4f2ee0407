"""Poller that calls a function for a readable socket instead of firing an event.

Firing and handling an event costs about as much as relaying a token. Only reads from upstreams are
frequent enough for this to matter; all other sockets use the event library's events.
"""

import select
import socket
from collections.abc import Callable

from circuits.core import events, pollers

Reader = Callable[[socket.socket], None]


class DirectPoller(pollers.EPoll):
    """EPoll that supports direct readers.

    :param before_dispatch: called before each event of a socket is handled.
    """

    def __init__(self, before_dispatch: Callable[[], None] = lambda: None) -> None:
        super().__init__()
        self._before_dispatch = before_dispatch
        self._direct_readers: dict[socket.socket, Reader] = {}

    def add_direct_reader(self, source: object, sock: socket.socket, reader: Reader) -> None:
        """Call a function whenever a socket is readable.

        :param source: component whose channel receives the socket's other events.
        :param reader: called with the socket.
        """
        self._direct_readers[sock] = reader
        self.addReader(source, sock)

    def discard(self, fd: socket.socket) -> None:
        """Stop polling a socket."""
        self._direct_readers.pop(fd, None)
        super().discard(fd)

    def _process(self, fileno: int, event: int) -> None:
        self._before_dispatch()
        reader = (
            self._direct_readers.get(self._map.get(fileno)) if event == select.EPOLLIN else None
        )
        if reader is None:
            super()._process(fileno, event)
            return
        try:
            reader(self._map[fileno])
        except Exception as error:
            self.fire(events.exception(type(error), error, error.__traceback__, None, None), "*")
