import os

import hypothesis

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=30,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.register_profile("long", parent=hypothesis.settings.get_profile("ci"))
hypothesis.settings.register_profile(
    "long", deadline=None, max_examples=2_000, stateful_step_count=80
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
