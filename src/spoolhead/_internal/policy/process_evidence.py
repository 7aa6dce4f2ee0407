"""Says what an observation at an instance's address shows of the process there.

Performs no I/O. When a process ends, its kernel closes or resets all its connections. A refused
connection shows that no process listens, no more: an instance that leaves may stop listening
seconds before its last run ends, and then keeps its established connections.
"""

import enum


class Observation(enum.Enum):
    """What was observed at an instance's address."""

    ANSWERED = "answered"
    """The instance itself answered."""
    OTHER_ANSWERED = "other answered"
    """Another instance answered."""
    ACCEPTED = "accepted"
    """A connection was accepted and stayed open."""
    REFUSED = "refused"
    LOST = "lost"
    """A connection was closed or reset, or not established in time."""


class ProcessState(enum.Enum):
    """What is known of a process."""

    RUNNING = "running"
    TERMINATED = "terminated"
    UNKNOWN = "unknown"


def judge(observation: Observation, *, has_open_connection: bool) -> ProcessState:
    """Return what an observation shows of the process.

    :param has_open_connection: whether an earlier connection to the process is still established.
    """
    match observation:
        case Observation.ANSWERED | Observation.ACCEPTED:
            return ProcessState.RUNNING
        case Observation.OTHER_ANSWERED:
            return ProcessState.TERMINATED
        case Observation.REFUSED if not has_open_connection:
            return ProcessState.TERMINATED
        case _:
            return ProcessState.UNKNOWN
