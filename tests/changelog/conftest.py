import pytest

from tests.support.changelog_endpoints import FakeReactor


@pytest.fixture
def reactor():
    return FakeReactor()
