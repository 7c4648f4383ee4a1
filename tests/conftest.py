"""Runs the daemon's socket tests on both fronts; tests/fronts.py lists the tests that belong to one."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest
from hypothesis import HealthCheck, settings
from laurelstep.balancing import balancer

from tests import fronts
from tests.sockets import FRONT

# The same examples in each run, without a time limit: the result must depend neither on the date nor on
# the load of the machine.
settings.register_profile(
    "steady", derandomize=True, database=None, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("steady")

Logged = Callable[[], str]

# Methods of a compiled class cannot be replaced.
plain_only = pytest.mark.skipif(not balancer.__file__.endswith(".py"), reason="patches a class of the module")


@pytest.fixture
def logged(capfd: pytest.CaptureFixture[str], caplog: pytest.LogCaptureFixture) -> Logged:
    """Return the log of the current front: standard error of the daemon, `logging` of the library."""
    return lambda: capfd.readouterr().err + caplog.text


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    if metafunc.module.__name__ in fronts.SHARED and "front" in metafunc.fixturenames:
        metafunc.parametrize("front", ("daemon", "library"), indirect=True)


@pytest.fixture(autouse=True)
def front(request: pytest.FixtureRequest) -> Iterator[str]:
    name = str(getattr(request, "param", "daemon"))
    token = FRONT.set(name)
    yield name
    FRONT.reset(token)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    kept = [item for item in items if not fronts.is_host_only(item)]
    fronts.SEEN.update(fronts.case(item) for item in items if fronts.is_shared(item))
    items[:] = kept
