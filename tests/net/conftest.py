"""Fixtures for tests of a complete router process."""

import pytest

from tests.support.running_router import RunningRouter


@pytest.fixture
def router(tmp_path):
    """A running router process, which is closed after the test."""
    running_router = RunningRouter(tmp_path)
    yield running_router
    running_router.close()
