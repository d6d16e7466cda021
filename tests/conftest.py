"""Fixtures that several files share."""

import pytest

from bench.faults import shim
from tests.support.router_process import RouterHarness


@pytest.fixture
def stand(tmp_path):
    made = []

    def build(*told, **more):
        made.append(RouterHarness(tmp_path, *told, **more))
        return made[0]

    yield build
    for one in made:
        one.close()


@pytest.fixture(scope="session")
def shim_library(tmp_path_factory):
    return shim.build(tmp_path_factory.mktemp("shim"))


@pytest.fixture
def faulty_stand(stand, shim_library, tmp_path):
    """A stand whose router's wall clock can be stepped and whose system calls can be made to fail."""

    def build(*told, prepare=lambda shim: None, **more):
        """before: what is done to the shim before the router is started."""
        made = shim.Shim(shim_library, tmp_path / "shim.page", files=tmp_path)
        prepare(made)
        return stand(*told, environment=made.environment, **more), made

    return build
