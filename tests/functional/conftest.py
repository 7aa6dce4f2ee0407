import pytest

import fleet
from lib import fleets


@pytest.fixture
def running(tmp_path):
    with fleet.Fleet(tmp_path) as made:
        yield made


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    """A fleet for tests that do not change its state."""
    with fleet.Fleet(tmp_path_factory.mktemp("fleet")) as made:
        fleets.start_fleet(made, engine_options=("--step-ms", "5"))
        yield made
