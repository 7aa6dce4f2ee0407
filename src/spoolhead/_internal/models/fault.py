"""Errors in requests, edits and settings, with a result code and the path of the wrong value."""

from spoolhead._internal.models import codes


class Fault:
    """An error in a request, an edit or a settings file.

    :ivar code: result code.
    :ivar path: path of the wrong value, such as ``workspaces.chat.weight``; empty for the whole
        input.
    :ivar text: description for a person.
    """

    __slots__ = ("code", "path", "text")

    def __init__(self, code: codes.ResultCode, text: str, *, path: str = "") -> None:
        self.code = code
        self.text = text
        self.path = path

    def __repr__(self) -> str:
        return f"Fault({self.code.name}, {self.text!r}, path={self.path!r})"

    def __str__(self) -> str:
        place = f"{self.path}: " if self.path else ""
        return f"{place}{self.text} [{int(self.code)}]"

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Fault):
            return NotImplemented
        return (self.code, self.path, self.text) == (other.code, other.path, other.text)

    __hash__ = None  # type: ignore[assignment]


def make_held_fault() -> Fault:
    """Return the fault for a held request: instances crashed under it or a part of its prompt."""
    text = "upstreams have ended under this request or a part of its prompt"
    return Fault(codes.ResultCode.REQUEST_HELD, text)


def make_unconfirmed_fault(item: Fault) -> Fault:
    """Return the fault for a refusal that is based on a table that may be outdated."""
    return Fault(codes.ResultCode.TABLE_UNCONFIRMED, f"unconfirmed: {item.text}", path=item.path)
