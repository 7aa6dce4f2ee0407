"""Requests with an idempotency key, which run at most once across all entries.

An entry claims the key from a keeper before it sends the request, and the keeper stores the claim
on disk before granting it. A resend through any entry finds the claim: the caller receives the
first answer, or an error that the outcome is unknown, and the request does not run again.
"""

import hashlib
import logging

from spoolhead._internal.entry import answers, api, decision_history, flow_context, keeper_link
from spoolhead._internal.entry import dispatcher as dispatchers
from spoolhead._internal.models import codes, fault, requests
from spoolhead._internal.network import caller_front
from spoolhead.coordination import once_journal

logger = logging.getLogger(__name__)

REPLAYED_HEADER = "x-spoolhead-replayed"
CLAIM_RETRY_AFTER_MS = 2_000

_REFUSAL_CODES = {
    once_journal.ClaimState.IN_PROGRESS: codes.ResultCode.ONCE_IN_PROGRESS,
    once_journal.ClaimState.UNKNOWN: codes.ResultCode.ONCE_OUTCOME_UNKNOWN,
    once_journal.ClaimState.KEY_REUSED: codes.ResultCode.ONCE_KEY_REUSED,
}


class OnceRequests:
    """Claims the keys of requests, and runs the requests whose claims are granted.

    :param dispatcher: runs the requests.
    :param decisions: records refusals.
    :param keeper: connection to the keeper that grants claims.
    :ivar claiming_count: claims that wait for an answer.
    """

    def __init__(
        self,
        dispatcher: dispatchers.Dispatcher,
        decisions: decision_history.DecisionHistory,
        keeper: keeper_link.KeeperLink,
    ) -> None:
        self._dispatcher = dispatcher
        self._decisions = decisions
        self._keeper = keeper
        self.claiming_count = 0

    def submit(self, request: requests.CallerRequest, caller: caller_front.Caller) -> None:
        """Claim the request's key and run the request if the claim is granted."""
        key = make_claim_key(request)
        self.claiming_count += 1

        def _on_answer(result: keeper_link.ClaimResult) -> None:
            self.claiming_count -= 1
            self._handle_answer(request, caller, key, result)

        self._keeper.claim(key, make_fingerprint(request), _on_answer)

    def _handle_answer(
        self,
        request: requests.CallerRequest,
        caller: caller_front.Caller,
        key: str,
        result: keeper_link.ClaimResult,
    ) -> None:
        if result.state is once_journal.ClaimState.GRANTED:
            self._run(request, caller, key)
        elif result.state is once_journal.ClaimState.FINISHED and result.outcome is not None:
            self._replay(request, caller, result.outcome)
        else:
            self._refuse(request, caller, result)

    def _run(self, request: requests.CallerRequest, caller: caller_front.Caller, key: str) -> None:
        if caller.is_disconnected:
            self._keeper.finish(key, codes.Ran.NO, None)
            return

        def _on_end(result: flow_context.FlowResult) -> None:
            outcome = None
            if result.status:
                outcome = once_journal.Outcome(result.status, result.content_type, result.body)
            self._keeper.finish(key, result.ran, outcome)

        self._dispatcher.submit(request, caller, _on_end)

    @staticmethod
    def _replay(
        request: requests.CallerRequest,
        caller: caller_front.Caller,
        outcome: once_journal.Outcome,
    ) -> None:
        headers = [
            (answers.REQUEST_ID_HEADER, request.request_id),
            (REPLAYED_HEADER, "yes"),
        ]
        if outcome.content_type:
            headers.append(("Content-Type", outcome.content_type))
        caller.send_answer(outcome.status, headers, outcome.body)

    def _refuse(
        self,
        request: requests.CallerRequest,
        caller: caller_front.Caller,
        result: keeper_link.ClaimResult,
    ) -> None:
        if result.state is None:
            code, ran = codes.ResultCode.ONCE_CLAIM_UNAVAILABLE, codes.Ran.NO
        else:
            state = result.state
            if state is once_journal.ClaimState.FINISHED:
                state = once_journal.ClaimState.UNKNOWN
            code, ran = _REFUSAL_CODES[state], codes.Ran.UNKNOWN
        if code is codes.ResultCode.ONCE_KEY_REUSED:
            ran = codes.Ran.NO
        cause = fault.Fault(code, codes.CODE_INFO[code].meaning, path=api.ONCE_KEY_HEADER)
        self._decisions.record_refusal(
            request.request_id, request.workspace, cause, request.arrived_s
        )
        may_retry = code in (
            codes.ResultCode.ONCE_CLAIM_UNAVAILABLE,
            codes.ResultCode.ONCE_IN_PROGRESS,
        )
        answers.send_error(
            caller,
            cause,
            ran=ran,
            request_id=request.request_id,
            retry_after_ms=CLAIM_RETRY_AFTER_MS if may_retry else None,
        )


def make_claim_key(request: requests.CallerRequest) -> str:
    """Return the key to claim, which combines workspace, service and the caller's key."""
    return "\n".join((request.workspace, request.service_name, request.once_key))


def make_fingerprint(request: requests.CallerRequest) -> bytes:
    """Return a digest that distinguishes a resend from another request with the same key."""
    digest = hashlib.sha256()
    for part in (request.method.encode(), request.target.encode("latin-1"), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
