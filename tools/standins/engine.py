"""Stand-in for a model engine with the published OpenAI HTTP interface.

It implements continuous batching. Its key-value cache fills up during generation; when it is full,
the engine preempts the generation with the lowest priority that arrived last, which later restarts
from its prompt and the tokens generated so far. It has a limited prefix cache, honours
``priority`` (lower first), numbers the events of a stream, resumes streams
(``GET /v1/streams/ID`` with ``Last-Event-ID``), cancels, and reports its load with a delay as
Prometheus text under the names that vLLM uses.

The text of token N of a generation is ``N `` and the stream's id names the generation, so a
reader can check that it received all tokens of one generation in order. ``[len=N]`` in a prompt
sets the length of the answer; otherwise it is drawn from a heavy-tailed distribution.
"""

import argparse
import asyncio
import json
import os
import random
import re
import signal
import sys
import time

from standins import http_server

CRASH_MARKER = "[crash]"
"""An engine that runs a prompt with this text terminates."""
CRASH_AFTER_S = 0.05
CRASH_EXIT_CODE = 3
"""Exit code of an engine that was crashed this way."""
LENGTH_MARKER = re.compile(r"\[len=(\d+)\]")
BLOCK_TOKENS = 16
BYTES_PER_TOKEN = 4


class Generation:
    """A generation and the events of its stream."""

    def __init__(self, ident: str, body: dict, prompt: str, length: int, is_chat: bool) -> None:
        self.ident = ident
        self.model = body["model"]
        self.is_chat = is_chat
        self.priority = body.get("priority", 0)
        self.wants_usage = bool((body.get("stream_options") or {}).get("include_usage"))
        self.prompt = prompt
        self.prompt_tokens = max(1, len(prompt) // BYTES_PER_TOKEN)
        limit = body.get("max_completion_tokens") or body.get("max_tokens") or length
        self.length = min(length, limit)
        self.finish_reason = "length" if limit < length else "stop"
        self.generated = 0
        self.arrival = time.monotonic()
        self.events: list[bytes] = []
        self.is_over = False
        self.is_cancelled = False
        self.readers = 0
        self.idle_since = time.monotonic()
        self.updated = asyncio.Event()

    @property
    def held_tokens(self) -> int:
        """Tokens in the key-value cache while it runs."""
        return self.prompt_tokens + self.generated

    def add_token(self) -> None:
        """Generate one token, and end the stream after the last one."""
        text = f"{self.generated} "
        self.generated += 1
        is_last = self.generated >= self.length
        self._add_event(self._make_chunk(text, self.finish_reason if is_last else None))
        if is_last:
            if self.wants_usage:
                self._add_event(json.dumps({**self._make_base(), "usage": self.get_usage()}))
            self._add_event("[DONE]")
            self.is_over = True
        self.wake()

    def get_usage(self) -> dict:
        """Return the token usage as the OpenAI interface reports it."""
        total = self.prompt_tokens + self.generated
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.generated,
            "total_tokens": total,
        }

    def make_answer(self) -> dict:
        """Return the complete answer as the OpenAI interface reports it."""
        text = "".join(f"{number} " for number in range(self.generated))
        choice: dict = {"index": 0, "finish_reason": self.finish_reason}
        if self.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self.is_chat else "text_completion"
        base = {**self._make_base(), "object": kind}
        return {**base, "choices": [choice], "usage": self.get_usage()}

    def wake(self) -> None:
        """Wake all tasks that wait for events."""
        self.updated.set()
        self.updated = asyncio.Event()

    def _make_base(self) -> dict:
        kind = "chat.completion.chunk" if self.is_chat else "text_completion"
        base = {"id": f"chatcmpl-{self.ident}", "object": kind, "created": 0}
        return {**base, "model": self.model, "choices": []}

    def _make_chunk(self, text: str, finish_reason: str | None) -> str:
        choice: dict = {"index": 0, "finish_reason": finish_reason}
        if self.is_chat:
            choice["delta"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return json.dumps({**self._make_base(), "choices": [choice]})

    def _add_event(self, data: str) -> None:
        self.events.append(f"id: {self.ident}:{len(self.events)}\ndata: {data}\n\n".encode())


class Engine:
    """Scheduler, key-value cache and HTTP interface of the engine."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._rng = random.Random(options.seed)
        self._waiting: list[Generation] = []
        self._running: list[Generation] = []
        self._generations: dict[str, Generation] = {}
        self._prefix_cache: dict[int, None] = {}
        self._counts = {"preemptions": 0, "cancelled": 0, "resumed": 0, "generations": 0}
        self._report = b""
        self._has_work = asyncio.Event()

    async def run_steps(self) -> None:
        """Generate tokens, step by step."""
        step_s = self._options.step_ms / 1000
        while True:
            if not self._waiting and not self._running:
                self._has_work.clear()
                await self._has_work.wait()
            started = time.monotonic()
            prefill_tokens = self._admit()
            step = step_s + len(self._running) * self._options.sequence_us / 1e6
            step += prefill_tokens * self._options.prefill_us / 1e6
            await asyncio.sleep(max(0.0, started + step - time.monotonic()))
            self._step()

    async def make_reports(self) -> None:
        """Update the load report, which shows the state of ``--report-lag-ms`` before."""
        while True:
            report = self._make_report()
            await asyncio.sleep(self._options.report_lag_ms / 1000)
            self._report = report
            self._evict_abandoned()

    async def handle(self, request: http_server.Request, answer: http_server.Answer) -> None:
        """Answer one request."""
        path = request.path
        if path == "/metrics":
            answer.send(200, self._report or self._make_report(), content_type="text/plain")
        elif path in ("/v1/chat/completions", "/v1/completions"):
            await self._handle_generation(request, answer, path == "/v1/chat/completions")
        elif path.startswith("/v1/streams/") and path.endswith("/cancel"):
            self._handle_cancel(path.split("/")[3], answer)
        elif path.startswith("/v1/streams/"):
            await self._handle_resume(path.split("/")[3], request, answer)
        elif path == "/counts":
            counts = {**self._counts, "running": len(self._running), "waiting": len(self._waiting)}
            answer.send_json(200, counts)
        else:
            answer.send_json(404, {"error": {"message": "no such path"}})

    def _admit(self) -> int:
        self._waiting.sort(key=lambda item: (item.priority, item.arrival))
        prefill_tokens = 0
        while self._waiting and len(self._running) < self._options.max_batch:
            first = self._waiting[0]
            if (
                self._get_used_tokens() + first.held_tokens > self._options.kv_tokens
                and self._running
            ):
                break
            self._running.append(self._waiting.pop(0))
            prefill_tokens += first.held_tokens - self._cache_prompt(first.prompt)
        return prefill_tokens

    def _step(self) -> None:
        for generation in list(self._running):
            generation.add_token()
            if generation.is_over:
                self._running.remove(generation)
                generation.idle_since = time.monotonic()
        while self._get_used_tokens() > self._options.kv_tokens and len(self._running) > 1:
            victim = max(self._running, key=lambda item: (item.priority, item.arrival))
            self._running.remove(victim)
            self._waiting.append(victim)
            self._counts["preemptions"] += 1

    def _get_used_tokens(self) -> int:
        return sum(generation.held_tokens for generation in self._running)

    def _cache_prompt(self, prompt: str) -> int:
        """Add a prompt to the prefix cache, and return how many of its tokens were cached."""
        size = BLOCK_TOKENS * BYTES_PER_TOKEN
        found = 0
        for end in range(size, len(prompt) + 1, size):
            key = hash(prompt[:end])
            if self._prefix_cache.pop(key, 0) is None and found == (end // size - 1) * BLOCK_TOKENS:
                found += BLOCK_TOKENS
            self._prefix_cache[key] = None
        while len(self._prefix_cache) * BLOCK_TOKENS > self._options.prefix_cache_tokens:
            del self._prefix_cache[next(iter(self._prefix_cache))]
        return found

    def _make_report(self) -> bytes:
        used = self._get_used_tokens() / self._options.kv_tokens
        blocks = self._options.kv_tokens // BLOCK_TOKENS
        lines = [
            f"vllm:num_requests_running {len(self._running)}",
            f"vllm:num_requests_waiting {len(self._waiting)}",
            f"vllm:kv_cache_usage_perc {used}",
            f"vllm:num_preemptions_total {self._counts['preemptions']}",
            f'vllm:cache_config_info{{block_size="{BLOCK_TOKENS}",num_gpu_blocks="{blocks}"}} 1',
        ]
        return ("\n".join(lines) + "\n").encode()

    async def _handle_generation(
        self, request: http_server.Request, answer: http_server.Answer, is_chat: bool
    ) -> None:
        body = json.loads(request.body)
        if body["model"] not in self._options.model:
            answer.send_json(404, {"error": {"message": f"no model {body['model']}"}})
            return
        prompt = json.dumps(body["messages"]) if is_chat else str(body["prompt"])
        if CRASH_MARKER in prompt:
            asyncio.get_running_loop().call_later(CRASH_AFTER_S, os._exit, CRASH_EXIT_CODE)
        marks = LENGTH_MARKER.findall(prompt)
        drawn = int(self._rng.lognormvariate(4.5, 1.0)) + 1
        length = int(marks[-1]) if marks else drawn
        ident = request.headers.get("x-request-id") or f"{self._rng.getrandbits(64):016x}"
        generation = Generation(ident, body, prompt, max(1, length), is_chat)
        self._counts["generations"] += 1
        self._generations[ident] = generation
        self._waiting.append(generation)
        self._has_work.set()
        if body.get("stream"):
            answer.start_events()
            await self._send_from(generation, 0, answer)
        else:
            await self._send_whole(generation, answer)

    async def _handle_resume(
        self, ident: str, request: http_server.Request, answer: http_server.Answer
    ) -> None:
        generation = self._generations.get(ident)
        if generation is None or generation.is_cancelled:
            answer.send_json(404, {"error": {"message": "no such generation"}})
            return
        self._counts["resumed"] += 1
        last = request.headers.get("last-event-id", "")
        begin = int(last.rpartition(":")[2]) + 1 if last else 0
        replayed = max(0, begin - self._options.replay_events)
        answer.start_events()
        await self._send_from(generation, replayed, answer)

    def _handle_cancel(self, ident: str, answer: http_server.Answer) -> None:
        generation = self._generations.get(ident)
        if generation is not None:
            self._cancel(generation)
        answer.send_json(200, {"cancelled": generation is not None})

    def _cancel(self, generation: Generation) -> None:
        if generation.is_over:
            return
        generation.is_over = generation.is_cancelled = True
        for queue in (self._waiting, self._running):
            if generation in queue:
                queue.remove(generation)
        generation.idle_since = time.monotonic()
        self._counts["cancelled"] += 1
        generation.wake()

    async def _send_from(
        self, generation: Generation, index: int, answer: http_server.Answer
    ) -> None:
        generation.readers += 1
        try:
            while True:
                updated = generation.updated
                ready = generation.events[index:]
                if ready:
                    index += len(ready)
                    await answer.send_events(b"".join(ready))
                elif generation.is_over:
                    break
                else:
                    await updated.wait()
            answer.end_events()
        finally:
            generation.readers -= 1
            generation.idle_since = time.monotonic()

    async def _send_whole(self, generation: Generation, answer: http_server.Answer) -> None:
        generation.readers += 1
        try:
            while not generation.is_over:
                await generation.updated.wait()
        finally:
            generation.readers -= 1
            generation.idle_since = time.monotonic()
        if generation.is_cancelled:
            answer.send_json(500, {"error": {"message": "cancelled"}})
        else:
            answer.send_json(200, generation.make_answer())

    def _evict_abandoned(self) -> None:
        oldest = time.monotonic() - self._options.retain_ms / 1000
        for ident, generation in list(self._generations.items()):
            if generation.readers or generation.idle_since > oldest:
                continue
            self._cancel(generation)
            del self._generations[ident]


def parse_options(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description="Stand-in for a model engine.")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--model", action="append", required=True)
    parser.add_argument("--kv-tokens", type=int, default=16_384)
    parser.add_argument("--max-batch", type=int, default=32)
    parser.add_argument("--step-ms", type=float, default=20.0)
    parser.add_argument("--sequence-us", type=float, default=100.0)
    parser.add_argument("--prefill-us", type=float, default=20.0)
    parser.add_argument("--prefix-cache-tokens", type=int, default=8_192)
    parser.add_argument("--report-lag-ms", type=float, default=300.0)
    parser.add_argument("--retain-ms", type=float, default=5_000.0)
    parser.add_argument("--replay-events", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args(arguments)


async def run(options: argparse.Namespace) -> None:
    """Serve until SIGTERM."""
    engine = Engine(options)
    server = await http_server.serve(options.host, options.port, engine.handle)
    print(f"ready port={server.sockets[0].getsockname()[1]}", flush=True)
    tasks = [asyncio.create_task(engine.run_steps()), asyncio.create_task(engine.make_reports())]
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    asyncio.run(run(parse_options(sys.argv[1:])))
