"""Engines that share their machines: the time that work takes differs by engine and by moment."""

QUICK_FACTOR, USUAL_FACTOR = 0.55, 1.2
SLOW_RATIO = 2.5
PERIOD_S = 0.6
SLOW_PROBABILITY = 0.15
"""Probability that an engine is slow in a period; periods of the engines begin at random times."""
JITTER = 0.05
"""Relative change of each stated figure."""


class Engine:
    """One engine; a quarter of them is quick."""

    def __init__(self, number, rng):
        self.typical = USUAL_FACTOR if number % 4 else QUICK_FACTOR
        self.begins_s = rng.uniform(0.0, PERIOD_S)
        self.rng = rng
        self.slow = {}

    def get_factor(self, now_s):
        """Return how long work takes now, relative to the usual time."""
        period = int((now_s + self.begins_s) / PERIOD_S)
        if period not in self.slow:
            self.slow[period] = self.rng.random() < SLOW_PROBABILITY
        return self.typical * (SLOW_RATIO if self.slow[period] else 1.0)

    def state_percent(self, now_s):
        return round(self.get_factor(now_s) * 100 * self.rng.uniform(1 - JITTER, 1 + JITTER))
