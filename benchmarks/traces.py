"""Seeded request traces with a burst of load, for two fleets."""

import random
from collections.abc import Mapping, Sequence

ENGINES = 5
KV_TOKENS = 6_000
STEP_MS = 8.0
SEQUENCE_US = 150.0
MEAN_BATCH = 12
SURGE_FROM = 1 / 3
SURGE_TO = 2 / 3


class Kind:
    """A kind of request.

    :ivar name: its name.
    :ivar prompt_tokens: mean length of the prompt.
    :ivar median_tokens: median length of the answer.
    :ivar spread: sigma of the answer's lognormal length.
    :ivar portion: portion of all requests.
    """

    __slots__ = ("median_tokens", "name", "portion", "prompt_tokens", "spread")

    def __init__(
        self, name: str, prompt_tokens: int, median_tokens: int, spread: float, portion: float
    ) -> None:
        self.name = name
        self.prompt_tokens = prompt_tokens
        self.median_tokens = median_tokens
        self.spread = spread
        self.portion = portion


KINDS: Mapping[str, Sequence[Kind]] = {
    "cork": (Kind("chat", 150, 60, 0.8, 0.75), Kind("field-note", 900, 200, 1.0, 0.25)),
    "lindqvist": (Kind("explain", 500, 120, 1.0, 0.5), Kind("verdict", 700, 12, 0.5, 0.5)),
}
SMALL_WORKSPACES = tuple(f"small-{number}" for number in range(8))
LARGE_WORKSPACE = "large"
WORKSPACES = (*SMALL_WORKSPACES, LARGE_WORKSPACE)
MAX_ANSWER_TOKENS = 800


class Item:
    """One request of a trace.

    :ivar at_s: time at which it is sent, from the start of the trace.
    :ivar workspace: workspace that sends it.
    :ivar kind: kind of request.
    :ivar prompt_tokens: length of its prompt in tokens.
    :ivar length: length of its answer in tokens, known to the engine only.
    """

    __slots__ = ("at_s", "kind", "length", "prompt_tokens", "workspace")

    def __init__(
        self, at_s: float, workspace: str, kind: str, prompt_tokens: int, length: int
    ) -> None:
        self.at_s = at_s
        self.workspace = workspace
        self.kind = kind
        self.prompt_tokens = prompt_tokens
        self.length = length

    @property
    def memory_s(self) -> float:
        """Estimated memory use integrated over its run time, in token seconds."""
        step_s = STEP_MS / 1000 + MEAN_BATCH * SEQUENCE_US / 1e6
        return (self.prompt_tokens + self.length / 2) * self.length * step_s


def make_trace(fleet_name: str, *, seed: int, load: float, duration_s: float) -> list[Item]:
    """Make a trace.

    :param fleet_name: ``cork`` or ``lindqvist``.
    :param load: memory demand as a multiple of the engines' capacity.
    :param duration_s: time over which the requests are sent.
    """
    rng = random.Random(f"{fleet_name}-{seed}")
    budget = load * ENGINES * KV_TOKENS * duration_s
    items: list[Item] = []
    while budget > 0:
        item = _draw(rng, fleet_name, duration_s)
        budget -= item.memory_s
        items.append(item)
    return sorted(items, key=lambda item: item.at_s)


def _draw(rng: random.Random, fleet_name: str, duration_s: float) -> Item:
    kinds = KINDS[fleet_name]
    kind = rng.choices(kinds, [item.portion for item in kinds])[0]
    # The large workspace sends half of all requests, all of them in the middle third.
    is_large = rng.random() < 0.5
    position = rng.uniform(SURGE_FROM, SURGE_TO) if is_large else rng.random()
    workspace = LARGE_WORKSPACE if is_large else rng.choice(SMALL_WORKSPACES)
    drawn = int(kind.median_tokens * rng.lognormvariate(0, kind.spread))
    prompt = int(kind.prompt_tokens * rng.uniform(0.5, 1.5))
    length = min(MAX_ANSWER_TOKENS, max(2, drawn))
    return Item(position * duration_s, workspace, kind.name, prompt, length)
