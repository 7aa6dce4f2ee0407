"""Compares the journal with a simple model: each key is granted once, whatever else happens."""

from hypothesis import stateful, strategies

from spoolhead.coordination import once_journal

RETENTION_MS = 1_000
KEYS = strategies.sampled_from(["a", "b"])
OWNERS = strategies.sampled_from(["entry-1", "entry-2"])
FINGERPRINTS = strategies.sampled_from([b"1", b"2"])


class JournalMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.journal = once_journal.OnceJournal(RETENTION_MS)
        self.now_ms = 0
        self.granted = {}
        self.ended = {}

    @stateful.rule(key=KEYS, owner=OWNERS, fingerprint=FINGERPRINTS, gone=strategies.booleans())
    def claim(self, key, owner, fingerprint, gone):
        state = self.journal.get_state(key, fingerprint, owner_is_gone=gone, now_ms=self.now_ms)
        if key not in self.granted:
            assert state is once_journal.ClaimState.GRANTED
            self.journal.claim(key, fingerprint, owner, self.now_ms)
            self.granted[key] = (owner, fingerprint, self.now_ms)
            return
        assert state is not once_journal.ClaimState.GRANTED
        if self.granted[key][1] != fingerprint:
            assert state is once_journal.ClaimState.KEY_REUSED
        elif key not in self.ended:
            expected = (
                once_journal.ClaimState.UNKNOWN if gone else once_journal.ClaimState.IN_PROGRESS
            )
            assert state is expected
        elif self.ended[key] is None:
            assert state is once_journal.ClaimState.UNKNOWN
        else:
            assert state is once_journal.ClaimState.FINISHED
            assert self.journal.claims[key].outcome is self.ended[key]

    @stateful.rule(key=KEYS, owner=OWNERS, known=strategies.booleans())
    def finish(self, key, owner, known):
        outcome = once_journal.Outcome(200, "", b"x") if known else None
        is_allowed = key in self.granted and self.granted[key][0] == owner and key not in self.ended
        assert self.journal.finish(key, owner, outcome) == is_allowed
        if is_allowed:
            self.ended[key] = outcome

    @stateful.rule(key=KEYS, owner=OWNERS)
    def release(self, key, owner):
        is_allowed = key in self.granted and self.granted[key][0] == owner and key not in self.ended
        assert self.journal.release(key, owner) == is_allowed
        if is_allowed:
            del self.granted[key]

    @stateful.rule(passed_ms=strategies.integers(0, 600))
    def pass_time(self, passed_ms):
        self.now_ms += passed_ms
        self.journal.drop_expired(self.now_ms)
        for key, (_, _, time_ms) in list(self.granted.items()):
            if self.now_ms - time_ms >= RETENTION_MS:
                del self.granted[key]
                self.ended.pop(key, None)

    @stateful.invariant()
    def holds_exactly_the_granted_claims(self):
        assert set(self.journal.claims) == set(self.granted)


TestJournalMachine = JournalMachine.TestCase
