"""Record of requests that may run only once, by the key their sender chose.

A key is claimed before the request is sent anywhere and finished with the outcome. Whoever
comes with a claimed key gets the first outcome, or is told that it is not known; nobody is
ever told to run it again. The journal is a state machine without I/O: the caller makes each
claim durable before acting on it.
"""

import collections
import enum


class ClaimState(enum.Enum):
    """What became of a claim."""

    GRANTED = "granted"
    IN_PROGRESS = "in-progress"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    KEY_REUSED = "key-reused"


class Outcome:
    """A kept answer.

    :ivar status: HTTP status of the answer.
    :ivar content_type: its Content-Type.
    :ivar body: its body.
    """

    __slots__ = ("body", "content_type", "status")

    def __init__(self, status: int, content_type: str, body: bytes) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body


class Claim:
    """One claimed key.

    :ivar fingerprint: digest of the request, to tell a resend from another request.
    :ivar owner: who holds the claim.
    :ivar time_ms: when it was made, in milliseconds since 1970.
    :ivar is_finished: the owner has reported the end.
    :ivar outcome: the answer, or None where it is unknown or too large to keep.
    """

    __slots__ = ("fingerprint", "is_finished", "outcome", "owner", "time_ms")

    def __init__(self, fingerprint: bytes, owner: str, time_ms: int) -> None:
        self.fingerprint = fingerprint
        self.owner = owner
        self.time_ms = time_ms
        self.is_finished = False
        self.outcome: Outcome | None = None


class OnceJournal:
    """Claims by key.

    :param retention_ms: how long a key is remembered after its claim.
    """

    def __init__(self, retention_ms: int) -> None:
        self.claims: collections.OrderedDict[str, Claim] = collections.OrderedDict()
        self._retention_ms = retention_ms

    def get_state(self, key: str, fingerprint: bytes, *, owner_is_gone: bool) -> ClaimState:
        """Tell what a claim of a key would get, without claiming it.

        :param key: the key, unique to its workspace and service.
        :param fingerprint: digest of the request.
        :param owner_is_gone: the holder of an unfinished claim will not report its end.
        """
        claim = self.claims.get(key)
        if claim is None:
            return ClaimState.GRANTED
        if claim.fingerprint != fingerprint:
            return ClaimState.KEY_REUSED
        if claim.outcome is not None:
            return ClaimState.FINISHED
        if claim.is_finished or owner_is_gone:
            return ClaimState.UNKNOWN
        return ClaimState.IN_PROGRESS

    def claim(self, key: str, fingerprint: bytes, owner: str, time_ms: int) -> None:
        """Record a claim that was granted and made durable.

        :raises ValueError: if the key is already claimed.
        """
        if key in self.claims:
            raise ValueError(f"{key} is already claimed")
        self.claims[key] = Claim(fingerprint, owner, time_ms)

    def finish(self, key: str, owner: str, outcome: Outcome | None) -> bool:
        """Record the end of a claimed request.

        :param outcome: the answer; None where it is not known or not kept.
        :returns: False if this owner holds no such unfinished claim, which changes nothing.
        """
        claim = self.claims.get(key)
        if claim is None or claim.owner != owner or claim.is_finished:
            return False
        claim.is_finished = True
        claim.outcome = outcome
        return True

    def release(self, key: str, owner: str) -> bool:
        """Forget a claim whose request provably was not run.

        :returns: False if this owner holds no such unfinished claim, which changes nothing.
        """
        claim = self.claims.get(key)
        if claim is None or claim.owner != owner or claim.is_finished:
            return False
        del self.claims[key]
        return True

    def drop_expired(self, now_ms: int) -> int:
        """Forget claims older than the retention.

        :returns: how many were dropped.
        """
        dropped = 0
        while self.claims:
            key, claim = next(iter(self.claims.items()))
            if now_ms - claim.time_ms < self._retention_ms:
                break
            del self.claims[key]
            dropped += 1
        return dropped
