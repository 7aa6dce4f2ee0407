"""Fakes for the interfaces of a flow: calls to upstreams, the caller and the dispatcher."""

from spoolhead._internal.entry import flow, flow_context
from spoolhead._internal.models import codes, requests, rows
from spoolhead._internal.policy import answer_end, placement, policy_set, replicas
from spoolhead._internal.utils import metrics

SHARED_KEY = "a-shared-key-for-tests"


class FakeCall:
    """A call whose events a test triggers."""

    def __init__(self, request, listener):
        self.head, _, self.body = request.partition(b"\r\n\r\n")
        self.listener = listener
        self.is_over = False
        self.may_have_arrived = False
        self.framing = answer_end.Framing.CHUNKED
        self.ending = answer_end.Ending.FRAMED

    def cancel(self):
        self.is_over = True

    def decide_outcome(self, content):
        return answer_end.decide(self.framing, self.ending, content)

    def get_header(self, name):
        for line in self.head.decode().split("\r\n")[1:]:
            key, _, value = line.partition(": ")
            if key == name:
                return value
        return None

    @property
    def target(self):
        return self.head.split(b" ")[1].decode()

    @property
    def is_cancel_order(self):
        return self.target.endswith("/cancel")

    @property
    def generation(self):
        if self.target.startswith("/v1/streams/"):
            return self.target.split("/")[3]
        return self.get_header("x-request-id")

    @property
    def first_index(self):
        last = self.get_header("last-event-id")
        return int(last.rpartition(":")[2]) + 1 if last else 0


class EndConfirmations:
    """Records the ends of answers that wait for evidence, which a test gives."""

    def __init__(self):
        self.waiting_ends = []
        self.alive = []
        self.open_connections = set()

    def confirm_end(self, address, on_evidence):
        self.waiting_ends.append((address, on_evidence))

    def record_alive(self, call):
        self.alive.append(call.address)

    def has_open_connection(self, address):
        return address in self.open_connections

    def finish_in_background(self, call):
        assert not call.is_over

    def give_evidence(self, evidence):
        waiting, self.waiting_ends = self.waiting_ends, []
        for _, on_evidence in waiting:
            on_evidence(evidence)


class FakeCalls(EndConfirmations):
    """Records every call."""

    def __init__(self):
        super().__init__()
        self.made = []

    def open(self, address, request, listener, *, fresh=False, is_head=False, body=(), **_bounds):
        call = FakeCall(b"".join((request, *body)), listener)
        self.made.append(call)
        return call

    def close_idle_to(self, address):
        pass

    @property
    def attempts(self):
        return [call for call in self.made if not call.is_cancel_order]


class FakeCaller:
    """Records the answer that it is sent."""

    def __init__(self):
        self.on_disconnect = None
        self.is_disconnected = False
        self.is_started = False
        self.is_finished = False
        self.is_aborted = False
        self.status = 0
        self.data = b""
        self.unread_bytes = 0

    def record_result(self, code, ran):
        self.result = (code, ran)

    def start_stream(self, status, headers, first=b""):
        assert not self.is_started
        self.is_started = True
        self.status = status
        self.data += first

    def send_body_part(self, data):
        assert self.is_started
        assert not self.is_finished
        self.data += data
        return -1 if self.is_disconnected else self.unread_bytes

    def send_answer(self, status, headers, body):
        if self.is_disconnected:
            return
        assert not self.is_started
        self.is_started = self.is_finished = True
        self.status = status
        self.data = body

    def end_stream(self):
        self.is_finished = True

    def abort(self):
        self.is_finished = self.is_aborted = True


class FakeHost:
    """Offers two upstreams and records the results of flows."""

    def __init__(self):
        self.replicas = [make_replica("u1"), make_replica("u2")]
        self.results = []
        self.charged = 0

    def choose_upstream(self, running, excluded):
        left = [item for item in self.replicas if item.name not in excluded]
        return placement.Choice(left[0] if left else None, 10.0, ())

    def requeue(self, running, code):
        running.start(placement.Choice(self.replicas[0], 10.0, ()))
        return True

    def record_attempt(self, running, action, choice, code):
        pass

    def charge(self, running, tokens):
        self.charged += tokens

    def handle_flow_end(self, running, result):
        self.results.append(result)


class FakeContents:
    """Records reported contents; none is suspect until a test adds it to ``suspects``."""

    def __init__(self):
        self.lost = []
        self.abandoned = []
        self.unreachable = []
        self.harmless = []
        self.established = []
        self.heard = []
        self.suspects = set()

    def is_suspect(self, keys):
        return not self.suspects.isdisjoint(keys.all)

    def get_incarnation_id(self, upstream):
        return f"{upstream}@entry.0"

    def record_lost(self, replica, run):
        self.lost.append(run.incarnation_id)

    def record_abandoned(self, replica, run):
        self.abandoned.append(run.incarnation_id)

    def record_unreachable(self, replica):
        self.unreachable.append(replica.name)

    def record_answered(self, replica, run):
        self.harmless.append(run.keys.content)

    def record_established(self, run):
        self.established.append(run.incarnation_id)

    def record_instance_answer(self, incarnation_id):
        self.heard.append(incarnation_id)


def make_replica(name):
    row = rows.UpstreamRow(address="10.0.0.1:80", hall="h", service="m")
    return replicas.Replica(name, row, 0.0, is_new=False)


def make_request(*, kind="model", stream=True, once=False, deadline_s=1e9):
    request = requests.CallerRequest(
        request_id="r",
        workspace="w",
        service_name="m",
        service=rows.ServiceRow(kind=rows.ServiceKind(kind)),
        method="POST",
        target="/v1/chat/completions" if kind == "model" else "/tallies",
        headers=[],
        body=b"{}",
        arrived_s=0.0,
        deadline_s=deadline_s,
    )
    request.wants_stream = stream
    request.is_once = once
    request.limit_tokens = 1_000
    return request


class FlowHarness:
    """A flow with fake collaborators and a clock that a test sets."""

    def __init__(self, request, *, attempts=3):
        self.now_s = 0.0
        self.calls = FakeCalls()
        self.caller = FakeCaller()
        self.host = FakeHost()
        self.contents = FakeContents()
        context = flow_context.FlowContext(
            calls=self.calls,
            host=self.host,
            contents=self.contents,
            collector=metrics.Metrics(),
            clock=lambda: self.now_s,
            shared_key=SHARED_KEY,
            attempts=attempts,
            answer_bytes=1_000,
            unread_bytes=1_000,
            policies=policy_set.PolicySet(),
        )
        self.flow = flow.Flow(request, self.caller, context)
        self.flow.start(placement.Choice(self.host.replicas[0], 10.0, ()))

    @property
    def result(self):
        return self.host.results[0] if self.host.results else None

    @property
    def ran(self):
        return self.result.ran if self.result else codes.Ran.UNKNOWN


class FakeLink:
    """An outgoing connection that is connected immediately."""

    def __init__(self, address, listener):
        self.address = address
        self.listener = listener
        self.is_connected = True
        self.is_closed = False
        self.sent = []

    @property
    def sent_bytes(self):
        return sum(map(len, self.sent))

    def send(self, data):
        self.sent.append(data)

    def close(self):
        self.is_closed = True


class FakeLinks:
    """Records every outgoing connection."""

    def __init__(self):
        self.opened = []
        self.established = set()

    def has_established(self, address):
        return address in self.established

    def open(self, address, listener, *, connect_ms):
        self.opened.append(FakeLink(address, listener))
        return self.opened[-1]

    def abort(self, link, reason):
        link.close()
        link.listener.on_lost(reason)
