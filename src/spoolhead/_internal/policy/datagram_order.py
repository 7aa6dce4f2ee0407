"""Compares the sequence numbers of datagrams from one process. Performs no I/O.

Processes start their sequence numbers at the time of day of their start, so a restarted process
begins above its previous numbers. The time of day may have been set back in the meantime.
"""

REORDER_WINDOW = 1_000
"""Sequence numbers by which a reordered datagram may be behind: two seconds of the fastest
reporting, far longer than any datagram is in transit. A datagram further behind comes from a
process that restarted after its clock had been set back."""


def is_late(sequence: int, newest: int) -> bool:
    """Return whether a datagram was reordered or is a duplicate."""
    return newest - REORDER_WINDOW < sequence <= newest


def is_restarted(sequence: int, newest: int) -> bool:
    """Return whether a datagram shows that its sender has restarted.

    A process cannot have sent that many datagrams since its last one, so a jump ahead means a
    restart too.
    """
    return sequence > newest + REORDER_WINDOW or is_sequence_reset(sequence, newest)


def is_sequence_reset(sequence: int, newest: int) -> bool:
    """Return whether a datagram's sender has restarted its sequence with lower numbers."""
    return sequence <= newest - REORDER_WINDOW
