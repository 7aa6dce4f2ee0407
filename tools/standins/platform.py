"""Stand-in for the users' platform: the list of instances and the instances themselves.

One process serves the list and all instances. A plain instance echoes requests; a model instance
streams numbered events, and a run can continue at another instance from a copy. Tests control it
by ``POST /_set`` at the address of the list (``{"instance": .., "state": .., "dead": ..,
"address": .., "limit": .., "load": .., "pace": .., "rest": .., "leaving": ..,
"unframed": .., "http_version": .., "proxied": .., "works_on": .., "endless": ..,
"endless_list": .., "status": .., "list_status": .., "stop_answers": [..], "late_s": ..,
"close_delay_s": .., "copy_s": .., "refuses_s": .., "silent_s": ..}``)
and read ``GET /_runs``, ``GET /_work``, ``GET /_arrivals``,
``GET /_stops`` (orders to stop runs, see :mod:`standins.run_stops`), ``GET /_copies`` and
``GET /_ends``.

A request whose body begins with :data:`CRASH_BODY`, or with :data:`CRASH_PART` among the shared
parts of its prompt, crashes the instance that runs it; after
:data:`RESTART_DELAY_S`, a new one starts at the address. Connections to a proxied instance are
accepted and held open meanwhile, and it is listed until :data:`STALE_LIST_S` after the crash. The
answers of an unframed instance end with their connection. The header ``X-Break`` breaks an answer
off: ``end`` inside an event with an end that looks orderly, ``cut`` by closing the connection,
``reset``, or ``crash`` after an event. ``X-Line-End`` names the line ending of events. ``X-Excess``
names the bytes that follow a plain answer.
"""

import argparse
import asyncio
import json
import signal
import socket
import sys
import time
from collections.abc import Coroutine

from standins import http_server, proxy, run_stops

SIGNATURE = "X-Response-Signature"
BREAK_AFTER_EVENTS = 3
"""Events of a stream that is broken off."""
LINE_ENDS = {"lf": b"\n", "crlf": b"\r\n", "cr": b"\r"}
EXCESS = {
    "": b"",
    "bytes": b"\x16\x03\x01 no answer",
    "status": b"HTTP/1.1 20 X\r\n\r\n",
    "upgrade": b"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
    "answer": b"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nother",
}
"""Bytes that may follow a whole answer, by name."""
CRASH_BODY = b"end the instance"
CRASH_PART = "badbadba"
CRASH_AFTER_S = 0.1
"""Time for which such a request runs before the crash."""
COPY_S = 0.02
"""Time that a copy of a run's memory takes."""
ODD_PAGES: dict[str, list[object] | None] = {
    "foreign": [{"id": "x-1", "service": "plain", "address": 17, "state": "paused"}, 4, None],
    "empty": [],
    "failing": None,
}
"""Pages of the list without an instance; None stands for one that is answered with status 500."""
RELEASE_PATH = "/spoolhead/kv-handle/"
RESTART_DELAY_S = 1.0
"""Time between the crash of an instance and the start of the next one at its address."""
STALE_LIST_S = 5.0
"""Time for which a proxied instance that crashed is still listed."""


class Instance:
    """An instance of a service.

    :ivar copies: handles of the copies that it holds.
    :ivar own_copies: request id of the run of each copy of its own, by handle.
    :ivar tasks: tasks of requests in flight, which are cancelled when it crashes.
    :ivar server: server that listens at its address.
    :ivar starts: number of instances that have run at the address.
    :ivar listens: host and port at which it listens; its listed address may be that of a proxy.
    :ivar is_down: it has crashed, and the next instance has not started.
    :ivar limit: requests a second that it states in its answers; empty for none.
    :ivar load: load that it states in its answers, also to health probes; empty for none.
    :ivar pace: factor of the time that its events take.
    :ivar rest: pause in seconds that it asks for when it refuses each request; empty to accept
        requests.
    :ivar says_leaving: it states in its answers that it is leaving.
    :ivar is_unframed: its answers to requests have neither a length nor chunks.
    :ivar http_version: version of HTTP of its answers to requests; 1.0 has no chunks.
    :ivar works_on: it does not drop a stream's run when its connection closes.
    :ivar running: record of the work on each run, by request id.
    :ivar stops: what it does with orders to stop runs.
    :ivar is_proxied: a proxy accepts connections at its address at any time.
    :ivar listed_name: name in the list.
    :ivar endless: kind of the bytes without end that it sends instead of each answer; empty for
        none.
    :ivar status: status, as it is written, of each of its answers; empty to answer as usual.
    :ivar connections: established connections, which end with its process.
    :ivar copy_s: time that a copy of a run's memory takes.
    :ivar silent_until_s: monotonic time until which its runs generate nothing.
    """

    def __init__(self, name: str, service: str, address: str, zone: str) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.state = "ready"
        self.is_dead = False
        self.started_ms = 0
        self.copies: set[str] = set()
        self.own_copies: dict[str, str] = {}
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None
        self.starts = 1
        self.is_down = False
        self.listens = ("", 0)
        self.limit = ""
        self.load = ""
        self.pace = 1.0
        self.rest = ""
        self.says_leaving = False
        self.is_unframed = False
        self.http_version = "1.1"
        self.works_on = False
        self.running: dict[str, dict] = {}
        self.stops = run_stops.StopOrders()
        self.is_proxied = False
        self.listed_name = name
        self.endless = ""
        self.status = ""
        self.connections: set[asyncio.StreamWriter] = set()
        self.copy_s = COPY_S
        self.silent_until_s = 0.0

    @property
    def stated_headers(self) -> dict[str, str]:
        """Headers about its own state in each answer."""
        headers = {"Server-Limit": self.limit} if self.limit else {}
        headers |= self.load_headers
        return headers | ({"Server-Leaving": "1"} if self.says_leaving else {})

    @property
    def load_headers(self) -> dict[str, str]:
        """Header with its load."""
        return {"X-Replica-Load": self.load} if self.load else {}

    @property
    def base_name(self) -> str:
        """Name of the first instance at the address."""
        return self.name.partition(".")[0]

    def describe(self) -> dict:
        """Return its entry in the list."""
        entry = {
            "id": self.listed_name,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
        }
        if self.started_ms:
            entry["born"] = self.started_ms
        return entry

    async def crash(self, platform: "Platform") -> None:
        """Crash, and start a new instance at the address after a while."""
        platform.ends.append({"instance": self.name, "at_s": time.monotonic()})
        self.is_down = True
        sock = None if self.is_proxied else self._stop_listening()
        self._end_tasks()
        if not self.is_proxied:
            self._close_connections()
        await asyncio.sleep(RESTART_DELAY_S)
        self._forget_memory()
        self.starts += 1
        self.name = f"{self.base_name}.{self.starts}"
        self.is_down = False
        if sock is not None:
            await platform.listen(self, sock)
        else:
            await asyncio.sleep(STALE_LIST_S - RESTART_DELAY_S)
        self.listed_name = self.name

    async def refuse_connections(self, platform: "Platform", duration_s: float) -> None:
        """Stop listening for a while, and serve the established connections on."""
        sock = self._stop_listening()
        await asyncio.sleep(duration_s)
        await platform.listen(self, sock)

    def may_resume(self, handle: str, run_id: str) -> bool:
        """Return whether a run may resume here from a handle, or from a backup by its id."""
        is_own = self.own_copies.get(handle) == run_id and self.stops.is_stopped(run_id)
        return handle in self.copies or is_own or handle == run_id

    def die(self) -> None:
        """End for good, with all requests and connections."""
        self._end_tasks()
        self._close_connections()

    def _end_tasks(self) -> None:
        for task in list(self.tasks):
            task.cancel()

    def _close_connections(self) -> None:
        for connection in list(self.connections):
            connection.close()

    def _forget_memory(self) -> None:
        self.copies.clear()
        self.own_copies.clear()
        self.stops.clear()

    def _stop_listening(self) -> socket.socket:
        self.server.close()
        # A bound socket that does not listen refuses connections and reserves the port.
        return proxy.bind_socket(*self.listens)

    def start_again(self, started_ms: int) -> None:
        """Restart under the same name, with a new start time and without previous state."""
        self.started_ms = started_ms
        self._forget_memory()
        self._end_tasks()


class Platform:
    """The list of instances and the instances."""

    def __init__(self, step_ms: float) -> None:
        self._step_s = step_ms / 1000
        self._runs: list[dict] = []
        self._work: list[dict] = []
        self._handles = 0
        self._background_tasks: set[asyncio.Task] = set()
        self.ends: list[dict] = []
        self.stop_orders: list[dict] = []
        self.copy_orders: list[dict] = []
        self.arrivals: list[dict] = []
        self.instances: dict[str, Instance] = {}
        self.foreign: list[object] = []
        self.page_entries = 0
        self.odd_page: tuple[int, str] | None = None
        self.endless_list = ""
        self.list_status = ""

    async def listen(self, instance: Instance, sock: socket.socket) -> None:
        """Let an instance listen on a bound socket."""

        def _handle(request, answer):
            return self.handle(instance, request, answer)

        instance.listens = sock.getsockname()
        instance.address = instance.address or f"{instance.listens[0]}:{instance.listens[1]}"
        instance.server = await http_server.serve_at(sock, _handle, instance.connections)

    async def handle_list(self, request: http_server.Request, answer: http_server.Answer) -> None:
        """Answer a request at the address of the list."""
        if request.path == "/replicas" and self.endless_list:
            await answer.send_endless(self.endless_list)
        elif request.path == "/replicas" and self.list_status:
            answer.send(self.list_status, b"[]", content_type="application/json")
        elif request.path == "/replicas":
            listed = [
                item.describe()
                for item in self.instances.values()
                if not item.is_dead and (item.is_proxied or not item.is_down)
            ]
            listed[1:1] = self.foreign
            self._send_page(request, answer, listed)
        elif request.path == "/_runs":
            answer.send_json(200, self._runs)
        elif request.path == "/_work":
            answer.send_json(200, self._work)
        elif request.path == "/_arrivals":
            answer.send_json(200, self.arrivals)
        elif request.path == "/_stops":
            answer.send_json(200, self.stop_orders)
        elif request.path == "/_copies":
            answer.send_json(200, self.copy_orders)
        elif request.path == "/_ends":
            answer.send_json(200, self.ends)
        else:
            order = json.loads(request.body)
            self.foreign = order.get("foreign", self.foreign)
            self.page_entries = order.get("page_entries", self.page_entries)
            self.odd_page = order.get("odd_page", self.odd_page)
            self.endless_list = order.get("endless_list", self.endless_list)
            self.list_status = order.get("list_status", self.list_status)
            instance = self.instances[order["instance"]]
            instance.state = order.get("state", instance.state)
            instance.is_dead = order.get("dead", instance.is_dead)
            instance.address = order.get("address", instance.address)
            instance.zone = order.get("zone", instance.zone)
            instance.limit = order.get("limit", instance.limit)
            instance.load = order.get("load", instance.load)
            instance.pace = order.get("pace", instance.pace)
            instance.rest = order.get("rest", instance.rest)
            instance.says_leaving = order.get("leaving", instance.says_leaving)
            instance.is_unframed = order.get("unframed", instance.is_unframed)
            instance.http_version = order.get("http_version", instance.http_version)
            instance.stops.configure(order)
            instance.is_proxied = order.get("proxied", instance.is_proxied)
            instance.works_on = order.get("works_on", instance.works_on)
            instance.endless = order.get("endless", instance.endless)
            instance.status = order.get("status", instance.status)
            instance.copy_s = order.get("copy_s", instance.copy_s)
            instance.silent_until_s = time.monotonic() + order.get("silent_s", 0.0)
            if "refuses_s" in order:
                self._run_in_background(instance.refuse_connections(self, order["refuses_s"]))
            if "born" in order:
                instance.start_again(order["born"])
            if instance.is_dead:
                instance.die()
            answer.send_json(200, {})

    def _send_page(
        self, request: http_server.Request, answer: http_server.Answer, listed: list[object]
    ) -> None:
        size = self.page_entries or max(1, len(listed))
        listed_pages: list[list[object] | None] = [
            listed[begin : begin + size] for begin in range(0, max(1, len(listed)), size)
        ]
        if self.odd_page is not None:
            place, kind = self.odd_page
            listed_pages.insert(min(place, len(listed_pages)), ODD_PAGES[kind])
        number = int(request.query.partition("page_token=p-")[2] or 0)
        page = listed_pages[number] if number < len(listed_pages) else None
        if page is None:
            answer.send_json(500, {})
            return
        token = f"p-{number + 1}" if number + 1 < len(listed_pages) else None
        answer.send_json(200, {"instances": page, "next_token": token})

    async def handle(
        self, instance: Instance, request: http_server.Request, answer: http_server.Answer
    ) -> None:
        """Answer a request at an instance."""
        if instance.is_dead or instance.is_down:
            await asyncio.sleep(STALE_LIST_S if instance.is_proxied else 0)
            raise ConnectionResetError
        task = asyncio.ensure_future(self._answer(instance, request, answer))
        instance.tasks.add(task)
        task.add_done_callback(instance.tasks.discard)
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            if not instance.works_on or request.headers.get("x-request-id") not in instance.running:
                task.cancel()
            raise ConnectionResetError from None

    async def _answer(
        self, instance: Instance, request: http_server.Request, answer: http_server.Answer
    ) -> None:
        if instance.endless:
            if request.headers.get("x-expected-replica") == instance.name:
                self._record_arrival(instance, request)
            await answer.send_endless(instance.endless)
        elif instance.status:
            self._send_status(instance, request, answer)
        elif request.path == "/healthz":
            status = 200 if instance.state == "ready" else 503
            headers = {"X-Replica-Id": instance.name, **instance.load_headers}
            answer.send(status, b"", content_type="text/plain", headers=headers)
        elif request.path == "/spoolhead/kv-move":
            await self._copy(instance, request, answer)
        elif request.path.startswith(RELEASE_PATH):
            self._release(request.path.removeprefix(RELEASE_PATH))
            answer.send_json(200, {})
        elif request.path.startswith("/spoolhead/"):
            answer.send_json(200, {})
        elif request.headers.get("x-expected-replica") != instance.name:
            answer.send(421, b"", content_type="text/plain")
        else:
            await self._accept(instance, request, answer)

    def _send_status(
        self, instance: Instance, request: http_server.Request, answer: http_server.Answer
    ) -> None:
        if request.headers.get("x-expected-replica") == instance.name:
            self._record_arrival(instance, request)
        answer.ends_with_connection = instance.is_unframed
        headers = {"X-Replica-Id": instance.name, SIGNATURE: "s"}
        if "x-request-id" in request.headers:
            headers["X-Request-Id"] = request.headers["x-request-id"]
        answer.send(instance.status, b"in trouble", content_type="text/plain", headers=headers)

    async def _accept(
        self, instance: Instance, request: http_server.Request, answer: http_server.Answer
    ) -> None:
        """Record the arrival of a request for this instance, and refuse or run it."""
        self._record_arrival(instance, request)
        answer.version = instance.http_version
        answer.ends_with_connection = instance.is_unframed or instance.http_version == "1.0"
        if instance.rest:
            headers = {"Retry-After": instance.rest, "X-Not-Executed": "1"}
            headers |= instance.stated_headers
            answer.send(503, b"", content_type="text/plain", headers=headers)
        elif "x-token-usage" in request.headers:
            await self._stream(instance, request, answer)
        else:
            await self._echo(instance, request, answer)

    def _record_arrival(self, instance: Instance, request: http_server.Request) -> None:
        self.arrivals.append(
            {
                "instance": instance.base_name,
                "id": request.headers.get("x-request-id"),
                "at_s": time.monotonic(),
            }
        )

    async def _copy(
        self, source: Instance, request: http_server.Request, answer: http_server.Answer
    ) -> None:
        order = json.loads(request.body)
        run_id = order["id"]
        self.copy_orders.append({"instance": source.base_name, "id": run_id})
        is_stopped = source.stops.is_stopped(run_id)
        if order.get("last") and (is_stopped or run_id in source.running):
            await self._stop_run(source, order, answer)
        elif is_stopped:
            answer.send_json(source.stops.get_status(run_id), {})
        elif run_id not in source.running:
            answer.send_json(404, {})
        else:
            await self._send_handle(source, order, source.running[run_id], answer, source.copy_s)

    async def _stop_run(self, source: Instance, order: dict, answer: http_server.Answer) -> None:
        """Take the next step for an order to stop a run."""
        run_id = order["id"]
        step = source.stops.take_step(run_id)
        fields = {"instance": source.base_name, "id": run_id, "step": step}
        self.stop_orders.append(fields | {"at_s": time.monotonic()})
        if step == run_stops.DROPPED:
            answer.reset()
            return
        if step == run_stops.UNREAD:
            while run_id in source.running:
                await asyncio.sleep(self._step_s)
            answer.send_json(404, {})
            return
        copy_s = source.stops.late_s if step == run_stops.LATE else COPY_S
        work = source.running.pop(run_id, None)
        if work is not None:
            work["is_stopped"] = True
            source.stops.record_stopped(run_id, copy_s)
        if step == run_stops.NONE:
            await asyncio.Event().wait()
        elif step == run_stops.RESET:
            answer.reset()
        elif step in run_stops.STATUSES:
            answer.send_json(int(step), {})
        elif work is None:
            answer.send_json(source.stops.get_status(run_id), {})
        else:
            await self._send_handle(source, order, work, answer, copy_s)

    async def _send_handle(
        self,
        source: Instance,
        order: dict,
        work: dict,
        answer: http_server.Answer,
        copy_s: float,
    ) -> None:
        """Copy the memory of a run and answer with its handle."""
        made = work["events"]
        await asyncio.sleep(copy_s)
        self._handles += 1
        handle = f"h-{self._handles}"
        # A run that has stopped can resume at its source, too.
        source.own_copies[handle] = order["id"]
        for instance in self.instances.values():
            if instance.address == order["target_version"]:
                instance.copies.add(handle)
        answer.send_json(200, {"handle": handle, "made": made})

    def _release(self, handle: str) -> None:
        """Free the memory of a copy at both ends."""
        for instance in self.instances.values():
            instance.copies.discard(handle)
            instance.own_copies.pop(handle, None)

    def _record_run(self, instance: Instance, request: http_server.Request) -> None:
        self._runs.append(
            {
                "instance": instance.base_name,
                "id": request.headers.get("x-request-id"),
                "path": request.path,
                "headers": request.headers,
                "at_s": time.monotonic(),
            }
        )
        if _is_deadly(request):
            self._begin_crash(instance, CRASH_AFTER_S)

    def _begin_crash(self, instance: Instance, after_s: float) -> None:
        # The crash cancels the tasks of the instance's requests, so it needs its own.
        self._run_in_background(self._crash(instance, after_s))

    def _run_in_background(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _crash(self, instance: Instance, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if not instance.is_down:
            await instance.crash(self)

    async def _echo(
        self, instance: Instance, request: http_server.Request, answer: http_server.Answer
    ) -> None:
        self._record_run(instance, request)
        delay_ms = float(request.headers.get("x-delay-ms", "0"))
        if _is_deadly(request):
            delay_ms = 2_000 * CRASH_AFTER_S
        await asyncio.sleep(delay_ms / 1000)
        headers = {"X-Request-Id": request.headers["x-request-id"], SIGNATURE: "s"}
        headers |= instance.stated_headers
        body = (request.body or b"empty") + _make_padding(request)
        if how := request.headers.get("x-break"):
            answer.send_half(body, headers=headers)
            await self._break_off(instance, answer, how)
            return
        excess = EXCESS[request.headers.get("x-excess", "")]
        answer.send(200, body, content_type="text/plain", headers=headers, excess=excess)

    async def _break_off(self, instance: Instance, answer: http_server.Answer, how: str) -> None:
        """End an answer that is not complete."""
        # What was sent arrives before the end.
        await asyncio.sleep(self._step_s)
        if how == "crash":
            self._begin_crash(instance, 0.0)
            await asyncio.sleep(RESTART_DELAY_S)
        elif how == "reset":
            answer.reset()
        elif how == "cut":
            raise ConnectionResetError
        else:
            answer.end_events()

    async def _stream(
        self, instance: Instance, request: http_server.Request, answer: http_server.Answer
    ) -> None:
        first = 1
        request_id = request.headers["x-request-id"]
        origin = request.headers.get("kv-from", "")
        if origin:
            handle = origin.partition("/")[2]
            if not instance.may_resume(handle, request_id):
                answer.send(503, b"", content_type="text/plain")
                return
            # A handle serves only once.
            self._release(handle)
            first = int(request.headers.get("last-event-id", "0")) + 1
        self._record_run(instance, request)
        count = int(request.headers["x-token-usage"].split(",")[1])
        headers = {"X-Request-Id": request_id, SIGNATURE: "s"}
        answer.start_events(headers | instance.stated_headers)
        if _is_deadly(request):
            if instance.is_unframed:
                await answer.send_events(b"id: 1\ndata: t1\n\nid: 2\nda")
            await asyncio.sleep(2 * CRASH_AFTER_S)
        work = {"instance": instance.base_name, "id": request_id, "began_s": time.monotonic()}
        work |= {"is_resumed": bool(origin), "last_s": work["began_s"], "events": first - 1}
        work |= {"is_stopped": False, "is_whole": False}
        self._work.append(work)
        instance.stops.forget(request_id)
        try:
            await self._send_events(instance, request, answer, range(first, count + 1), work)
        finally:
            # The run may have resumed here meanwhile.
            if instance.running.get(request_id) is work:
                del instance.running[request_id]

    async def _send_events(
        self,
        instance: Instance,
        request: http_server.Request,
        answer: http_server.Answer,
        numbers: range,
        work: dict,
    ) -> None:
        request_id = request.headers["x-request-id"]
        padding = _make_padding(request)
        line_end = LINE_ENDS[request.headers.get("x-line-end", "lf")]
        step_s = float(request.headers.get("x-step-ms", "0")) / 1000 or self._step_s
        how = request.headers.get("x-break", "")
        for number in numbers:
            await asyncio.sleep(max(0.0, instance.silent_until_s - time.monotonic()))
            if work["is_stopped"]:
                break
            instance.running[request_id] = work
            work["events"] = number
            work["last_s"] = time.monotonic()
            event = line_end.join(
                (b"id: %d" % number, b"data: t%d%b" % (number, padding), b"", b"")
            )
            if how and number > BREAK_AFTER_EVENTS:
                if how != "crash":
                    await answer.send_events(event[: len(event) // 2])
                await self._break_off(instance, answer, how)
                return
            await _send_event(instance, answer, event)
            await asyncio.sleep(step_s * instance.pace)
        if work["is_stopped"]:
            # Its stream is closed in order, without its end.
            await asyncio.sleep(instance.stops.close_delay_s)
            answer.ends_with_connection = True
            return
        work["is_whole"] = True
        answer.end_events()


def _is_deadly(request: http_server.Request) -> bool:
    """Return whether a request crashes the instance that runs it."""
    items = request.headers.get("x-prompt-prefix", "").split(",")[:-1]
    has_part = any(item.strip().partition(":")[0] == CRASH_PART for item in items)
    return has_part or request.body.startswith(CRASH_BODY)


async def _send_event(instance: Instance, answer: http_server.Answer, event: bytes) -> None:
    """Send an event; an instance that works on ignores that its connection has closed."""
    if instance.works_on and answer.is_closed:
        return
    try:
        await answer.send_events(event)
    except ConnectionError:
        if not instance.works_on:
            raise


def _make_padding(request: http_server.Request) -> bytes:
    """Return the bytes that a request asks to be added to the answer or to each event."""
    return b"x" * int(request.headers.get("x-added-bytes", "0"))


async def run(options: argparse.Namespace) -> None:
    """Serve until SIGTERM."""
    platform = Platform(options.step_ms)
    server = await http_server.serve(options.host, 0, platform.handle_list)
    ports = [server.sockets[0].getsockname()[1]]
    for item in options.instance:
        name, service, zone = item.split(":")
        instance = Instance(name, service, "", zone)
        await platform.listen(instance, proxy.bind_socket(options.host, 0))
        platform.instances[name] = instance
    print(f"ready port={ports[0]}", flush=True)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()


def parse_options(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description="Stand-in for the users' platform.")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--step-ms", type=float, default=10.0)
    parser.add_argument("--instance", action="append", default=[], help="NAME:SERVICE:ZONE")
    return parser.parse_args(arguments)


if __name__ == "__main__":
    asyncio.run(run(parse_options(sys.argv[1:])))
