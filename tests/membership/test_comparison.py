"""What is suspicious about a new list."""

import pytest

from tests.support.statements import statement
from wickhinge.membership.comparison import compare_lists


@pytest.mark.parametrize(
    "new, doubts",
    [
        ([], "empty"),
        ([statement(1), statement(100, kind="parent", zone="hub")], "2 machines where 6"),
        ([statement(mark) for mark in range(1, 6)], "zone hub"),
        ([statement(mark) for mark in range(1, 6)] + [statement(100, kind="parent", zone="hub")], ""),
    ],
)
def test_compare_when_the_list_is_suspiciously_small_warns(new, doubts):
    old = [statement(mark) for mark in range(1, 6)] + [statement(100, kind="parent", zone="hub")]
    answer = compare_lists(old, new)
    assert doubts in "; ".join(answer.warnings) and bool(answer.warnings) == bool(doubts)
    assert len(answer.gone_ids) == len(old) - len(new)
