"""Which of two numbered datagrams of one process is the newer; no I/O.

Processes number their datagrams on from the time of day at which they started, so that a restarted
one begins above its former self. The time of day may have been set back meanwhile.
"""

REORDER_WINDOW = 1_000
"""Numbers by which a datagram that was overtaken may be behind: two seconds of the fastest
reporting, far longer than any datagram is under way. One further behind is from a process that was
restarted after its clock had been set back."""


def is_late(sequence: int, newest: int) -> bool:
    """Tell whether a datagram was overtaken by one that came before, or came already."""
    return newest - REORDER_WINDOW < sequence <= newest


def is_restarted(sequence: int, newest: int) -> bool:
    """Tell whether a datagram is from another start of a process that was heard just now.

    Numbers that far ahead cannot have been used up since; the time of day has gone on that far.
    """
    return sequence > newest + REORDER_WINDOW or is_sequence_reset(sequence, newest)


def is_sequence_reset(sequence: int, newest: int) -> bool:
    """Tell whether a datagram is from a process that has begun its numbers anew, and lower."""
    return sequence <= newest - REORDER_WINDOW
