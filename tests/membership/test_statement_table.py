"""Several sources state the same endpoints: which statement is in force."""

import pytest

from tests.support.statements import statement
from wickhinge.membership.statement_table import (
    MAX_GONE_ENDPOINTS,
    ListSource,
    StatementTable,
)


@pytest.mark.parametrize(
    "first, second, state, source",
    [
        (statement(1), statement(1, when=101, source=ListSource.SIBLING), "ready", ListSource.SIBLING),
        (statement(1, when=101), statement(1, when=100, source=ListSource.SIBLING), "ready", ListSource.REMEMBERED),
        (statement(1), statement(1, source=ListSource.STATIC), "ready", ListSource.REMEMBERED),
        (
            statement(1, when=101),
            statement(1, "draining", when=50, source=ListSource.SIBLING),
            "draining",
            ListSource.SIBLING,
        ),
        (
            statement(1, "draining", when=50, source=ListSource.SIBLING),
            statement(1, when=400),
            "draining",
            ListSource.SIBLING,
        ),
        (
            statement(1, "draining", when=50, source=ListSource.SIBLING),
            statement(1, when=60, source=ListSource.LIVE),
            "ready",
            ListSource.LIVE,
        ),
        (
            statement(1, source=ListSource.LIVE),
            statement(1, "draining", when=90, source=ListSource.SIBLING),
            "ready",
            ListSource.LIVE,
        ),
        (
            statement(1, source=ListSource.LIVE),
            statement(1, "draining", when=101, source=ListSource.SIBLING),
            "draining",
            ListSource.SIBLING,
        ),
        (statement(1, source=ListSource.LIVE), statement(1, "gone", when=90, source=ListSource.SIBLING), None, None),
        (statement(1, "gone"), statement(1, when=900, source=ListSource.SIBLING), None, None),
    ],
)
def test_merge_when_two_sources_state_an_endpoint_keeps_the_one_that_counts(first, second, state, source):
    table = StatementTable()
    table.merge(first)
    table.merge(second)
    now = table.endpoints.get(1)
    assert (now.state, now.source) == (state, source) if state else now is None


def test_replace_all_when_the_live_list_is_complete_removes_the_rest_and_bounds_the_gone():
    table = StatementTable()
    for mark in (1, 2, 3):
        table.merge(statement(mark))
    table.remove(4, 90.0)
    assert table.replace_all(
        [statement(2, source=ListSource.LIVE, when=200), statement(4, source=ListSource.LIVE, when=200)], 200.0
    ) == [1, 3]
    assert set(table.endpoints) == {2, 4} and not table.merge(statement(1, when=300))
    for mark in range(10, MAX_GONE_ENDPOINTS + 50):
        table.remove(mark, 1.0)
    assert len(table.gone) == MAX_GONE_ENDPOINTS


def test_replace_all_when_two_endpoints_swapped_addresses_tells_them_apart_by_id():
    table = StatementTable()
    table.merge(statement(1, port=11)), table.merge(statement(2, port=22))
    table.replace_all(
        [
            statement(1, port=22, source=ListSource.LIVE, when=200),
            statement(2, port=11, source=ListSource.LIVE, when=200),
        ],
        200.0,
    )
    assert table.ids_by_address() == {("127.0.0.1", 22): [1], ("127.0.0.1", 11): [2]}
