"""The members of a group, and the majorities that decide in it; performs no I/O.

Members are exchanged by joint consensus (Ongaro and Ousterhout, 2014, section 6): while a change
is in progress, a decision requires a majority of the former members and a majority of the new ones.
Two decisions therefore always share a member, whatever either group has promised before.
"""

from collections.abc import Collection, Iterable, Mapping

import msgpack


def get_quorum_size(members: Collection[str]) -> int:
    """Return the number of members that form a majority."""
    return len(members) // 2 + 1


class Membership:
    """The members of the group.

    :ivar members: ids of the members, sorted; during a change, of the new members.
    :ivar target_size: intended number of members.
    :ivar former: during a change, ids of the members before it, sorted; otherwise empty.
    """

    __slots__ = ("former", "members", "target_size")

    def __init__(
        self, members: Iterable[str], target_size: int, former: Iterable[str] = ()
    ) -> None:
        self.members = tuple(sorted(members))
        self.target_size = target_size
        self.former = tuple(sorted(former))

    @property
    def is_joint(self) -> bool:
        """Whether a change of members is in progress."""
        return bool(self.former)

    @property
    def all_members(self) -> tuple[str, ...]:
        """Ids of the members, sorted; during a change, of the former and the new ones."""
        return tuple(sorted({*self.members, *self.former}))

    def has_majority(self, agreeing: Collection[str]) -> bool:
        """Return whether the given members decide; ids of others are not counted."""
        return all(
            len(set(group).intersection(agreeing)) >= get_quorum_size(group)
            for group in self._get_groups()
        )

    def get_majority_index(self, indexes: Mapping[str, int]) -> int:
        """Return the highest log index that a deciding majority has reached; 0 for none.

        :param indexes: index that each member has reached; a member that is missing has none.
        """
        return min(_get_group_index(group, indexes) for group in self._get_groups())

    def begin_change(self, members: Iterable[str], target_size: int) -> "Membership":
        """Return the membership during a change to the given members."""
        return Membership(members, target_size, self.members)

    def finish_change(self) -> "Membership":
        """Return the membership after the change in progress."""
        return Membership(self.members, self.target_size)

    def pack(self) -> bytes:
        """Return the serialized form that a log entry holds."""
        values: list[object] = [list(self.members), self.target_size]
        if self.is_joint:
            values.append(list(self.former))
        return msgpack.packb(values)

    @classmethod
    def unpack(cls, data: bytes) -> "Membership":
        """Return the membership that a log entry holds."""
        return cls(*msgpack.unpackb(data))

    def _get_groups(self) -> list[tuple[str, ...]]:
        return [self.members, self.former] if self.is_joint else [self.members]


def _get_group_index(group: Collection[str], indexes: Mapping[str, int]) -> int:
    reached = sorted((indexes.get(member, 0) for member in group), reverse=True)
    quorum_size = get_quorum_size(group)
    return reached[quorum_size - 1] if len(reached) >= quorum_size else 0
