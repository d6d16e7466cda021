"""Fixtures that several files share."""

import pytest
from stand import Stand


@pytest.fixture
def stand(tmp_path):
    made = []

    def build(*told, **more):
        made.append(Stand(tmp_path, *told, **more))
        return made[0]

    yield build
    for one in made:
        one.close()
