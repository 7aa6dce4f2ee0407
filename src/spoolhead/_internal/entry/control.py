"""What an entry tells operators and its neighbours in the hall."""

from collections.abc import Callable

from spoolhead._internal.entry import decision_history
from spoolhead._internal.entry import neighbours as entry_neighbours
from spoolhead._internal.network import messages, peer_server

Status = dict[str, object]


class ControlService:
    """Handles operators' messages; implements :class:`peer_server.PeerService`.

    :param decisions: what was decided on each request.
    :param neighbours: the other entries of the hall, which connect here too.
    :param get_status: returns the entry's status.
    """

    def __init__(
        self,
        decisions: decision_history.DecisionHistory,
        neighbours: entry_neighbours.Neighbours,
        get_status: Callable[[], Status],
    ) -> None:
        self._decisions = decisions
        self._neighbours = neighbours
        self._get_status = get_status

    def on_opened(self, session: peer_server.PeerSession) -> None:
        """Send reports to a neighbour; operators ask."""
        if session.role == entry_neighbours.ROLE:
            self._neighbours.add_session(session)

    def on_closed(self, session: peer_server.PeerSession) -> None:
        """Send nothing more to a neighbour."""
        self._neighbours.remove_session(session)

    def on_message(self, session: peer_server.PeerSession, message: messages.Message) -> None:
        """Answer a question."""
        match message:
            case messages.GetStatus():
                answer = messages.StatusAnswer(request=message.request, status=self._get_status())
            case messages.GetDecision():
                decisions = self._decisions.get(message.request_id)
                answer = messages.DecisionAnswer(
                    request=message.request, decisions=[item.get_fields() for item in decisions]
                )
            case _:
                raise messages.MessageError(f"unexpected {type(message).__name__}")
        session.send(answer)
