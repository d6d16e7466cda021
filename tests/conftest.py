"""Fixtures that tests of several packages use."""

import pytest

from bench.faults import shim
from tests.support.router_process import RouterHarness


@pytest.fixture
def stand(tmp_path):
    """Return a function that starts a router process with its servers, which are stopped after the test."""
    harnesses = []

    def build(*arguments, **options):
        harnesses.append(RouterHarness(tmp_path, *arguments, **options))
        return harnesses[0]

    yield build
    for harness in harnesses:
        harness.close()


@pytest.fixture(scope="session")
def shim_library(tmp_path_factory):
    """Return the path of the library that intercepts system calls, built once for all tests."""
    return shim.build(tmp_path_factory.mktemp("shim"))


@pytest.fixture
def faulty_stand(stand, shim_library, tmp_path):
    """Return a function like `stand` for a router whose wall clock can be stepped and whose system calls can fail."""

    def build(*arguments, prepare=lambda shim: None, **options):
        """Start the router after a call of `prepare` with the shim that intercepts its system calls."""
        router_shim = shim.Shim(shim_library, tmp_path / "shim.page", files=tmp_path)
        prepare(router_shim)
        return stand(*arguments, environment=router_shim.environment, **options), router_shim

    return build
