"""A fault: one thing wrong with an input, with the place where it is."""

from spoolhead._internal.models import codes


class Fault:
    """One thing that is wrong with a request, an edit or a settings file.

    :ivar code: numbered result code.
    :ivar path: place of the fault, such as ``workspaces.chat.weight``; empty for the whole.
    :ivar text: what is wrong, for a person.
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
    """Return why a request is held back that ends what runs it."""
    text = "upstreams have ended each time that this request ran"
    return Fault(codes.ResultCode.REQUEST_HELD, text)


def make_unconfirmed_fault(item: Fault) -> Fault:
    """Return what stands for a refusal by a table that may not be the newest."""
    return Fault(codes.ResultCode.TABLE_UNCONFIRMED, f"unconfirmed: {item.text}", path=item.path)
