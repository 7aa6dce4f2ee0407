"""Journal of requests that may run only once, by a key that the caller chose.

A key is claimed before its request is sent to any upstream, and finished with the outcome. A later
request with a claimed key receives the first outcome, or the state that it is unknown, and is not
run again. The journal is a state machine without I/O: the caller makes each claim durable before
acting on it. Claims expire only with a new claim, so that a replay of the durable claims gives the
same state, whatever the clock did between them.
"""

import collections
import enum


class ClaimState(enum.Enum):
    """Result of claiming a key."""

    GRANTED = "granted"
    IN_PROGRESS = "in-progress"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    KEY_REUSED = "key-reused"


class Outcome:
    """A stored answer.

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
    """The claim of one key.

    :ivar fingerprint: digest of the request, which distinguishes a resend from another request.
    :ivar owner: name of the process that made the claim.
    :ivar time_ms: time of the claim, in milliseconds since 1970.
    :ivar is_finished: whether the owner has reported the end of the request.
    :ivar outcome: the answer; None if it is unknown or too large to store.
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

    :param retention_ms: time for which a key is remembered after its claim, in milliseconds.
    """

    def __init__(self, retention_ms: int) -> None:
        self.claims: collections.OrderedDict[str, Claim] = collections.OrderedDict()
        self._retention_ms = retention_ms

    def get_state(
        self, key: str, fingerprint: bytes, *, owner_is_gone: bool, now_ms: int
    ) -> ClaimState:
        """Return the state that a claim of the key would find, without claiming it.

        :param key: the key, unique to its workspace and service.
        :param fingerprint: digest of the request.
        :param owner_is_gone: whether the owner of an unfinished claim can no longer report its end.
        :param now_ms: the time, in milliseconds since 1970.
        """
        claim = self.claims.get(key)
        if claim is None or self._is_expired(claim, now_ms):
            return ClaimState.GRANTED
        if claim.fingerprint != fingerprint:
            return ClaimState.KEY_REUSED
        if claim.outcome is not None:
            return ClaimState.FINISHED
        if claim.is_finished or owner_is_gone:
            return ClaimState.UNKNOWN
        return ClaimState.IN_PROGRESS

    def claim(self, key: str, fingerprint: bytes, owner: str, time_ms: int) -> None:
        """Record a claim that was granted and made durable, and remove the expired claims.

        :raises ValueError: if the key is already claimed.
        """
        self.drop_expired(time_ms)
        claim = self.claims.get(key)
        if claim is not None and not self._is_expired(claim, time_ms):
            raise ValueError(f"{key} is already claimed")
        # A clock that was set back leaves expired claims behind newer ones.
        self.claims.pop(key, None)
        self.claims[key] = Claim(fingerprint, owner, time_ms)

    def finish(self, key: str, owner: str, outcome: Outcome | None) -> bool:
        """Record the end of a claimed request.

        :param outcome: the answer; None if it is unknown or not stored.
        :returns: False, without any change, if this owner has no such unfinished claim.
        """
        claim = self.claims.get(key)
        if claim is None or claim.owner != owner or claim.is_finished:
            return False
        claim.is_finished = True
        claim.outcome = outcome
        return True

    def release(self, key: str, owner: str) -> bool:
        """Remove a claim whose request was certainly not run.

        :returns: False, without any change, if this owner has no such unfinished claim.
        """
        claim = self.claims.get(key)
        if claim is None or claim.owner != owner or claim.is_finished:
            return False
        del self.claims[key]
        return True

    def drop_expired(self, now_ms: int) -> int:
        """Remove claims that are older than the retention time.

        :returns: the number of removed claims.
        """
        dropped = 0
        while self.claims:
            key, claim = next(iter(self.claims.items()))
            if not self._is_expired(claim, now_ms):
                break
            del self.claims[key]
            dropped += 1
        return dropped

    def _is_expired(self, claim: Claim, now_ms: int) -> bool:
        return now_ms - claim.time_ms >= self._retention_ms
