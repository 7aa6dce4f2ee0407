"""The entry's control service, for operators and for the other entries of the hall."""

from collections.abc import Callable

from spoolhead._internal.entry import decision_history
from spoolhead._internal.entry import neighbours as entry_neighbours
from spoolhead._internal.network import messages, peer_server

Status = dict[str, object]


class ControlService:
    """Answers operators and serves neighbours; implements :class:`peer_server.PeerService`.

    :param decisions: history of decisions on requests.
    :param neighbours: the other entries of the hall, which connect to the same port.
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
        """Register a neighbour to receive load reports; operators send requests themselves."""
        if session.role == entry_neighbours.ROLE:
            self._neighbours.add_session(session)

    def on_closed(self, session: peer_server.PeerSession) -> None:
        """Stop sending load reports to a neighbour."""
        self._neighbours.remove_session(session)

    def on_message(self, session: peer_server.PeerSession, message: messages.Message) -> None:
        """Answer a request for the status or for decisions.

        :raises messages.MessageError: if the message is of another type.
        """
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
