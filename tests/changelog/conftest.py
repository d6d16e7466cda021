import pytest

from tests.support.changelog_endpoints import Sockets


@pytest.fixture
def sockets():
    return Sockets()
