"""Choice of the statement in force when several sources describe an endpoint."""

import pytest

from tests.support.statements import make_statement
from wickhinge.membership.statement_table import MAX_GONE_ENDPOINTS, ListSource, StatementTable


@pytest.mark.parametrize(
    "first, second, state, source",
    [
        (make_statement(1), make_statement(1, stated_at=101, source=ListSource.SIBLING), "ready", ListSource.SIBLING),
        (
            make_statement(1, stated_at=101),
            make_statement(1, stated_at=100, source=ListSource.SIBLING),
            "ready",
            ListSource.REMEMBERED,
        ),
        (make_statement(1), make_statement(1, source=ListSource.STATIC), "ready", ListSource.REMEMBERED),
        (
            make_statement(1, stated_at=101),
            make_statement(1, "draining", stated_at=50, source=ListSource.SIBLING),
            "draining",
            ListSource.SIBLING,
        ),
        (
            make_statement(1, "draining", stated_at=50, source=ListSource.SIBLING),
            make_statement(1, stated_at=400),
            "draining",
            ListSource.SIBLING,
        ),
        (
            make_statement(1, "draining", stated_at=50, source=ListSource.SIBLING),
            make_statement(1, stated_at=60, source=ListSource.LIVE),
            "ready",
            ListSource.LIVE,
        ),
        (
            make_statement(1, source=ListSource.LIVE),
            make_statement(1, "draining", stated_at=90, source=ListSource.SIBLING),
            "ready",
            ListSource.LIVE,
        ),
        (
            make_statement(1, source=ListSource.LIVE),
            make_statement(1, "draining", stated_at=101, source=ListSource.SIBLING),
            "draining",
            ListSource.SIBLING,
        ),
        (
            make_statement(1, source=ListSource.LIVE),
            make_statement(1, "gone", stated_at=90, source=ListSource.SIBLING),
            None,
            None,
        ),
        (make_statement(1, "gone"), make_statement(1, stated_at=900, source=ListSource.SIBLING), None, None),
    ],
)
def test_merge_when_two_sources_describe_an_endpoint_keeps_the_statement_of_higher_precedence(
    first, second, state, source
):
    table = StatementTable()
    table.merge(first)
    table.merge(second)
    in_force = table.endpoints.get(1)
    assert (in_force.state, in_force.source) == (state, source) if state else in_force is None


def test_replace_all_when_the_list_lacks_endpoints_marks_them_as_gone_and_bounds_the_gone_ids():
    table = StatementTable()
    for endpoint_id in (1, 2, 3):
        table.merge(make_statement(endpoint_id))
    table.remove(4, 90.0)
    assert table.replace_all(
        [
            make_statement(2, source=ListSource.LIVE, stated_at=200),
            make_statement(4, source=ListSource.LIVE, stated_at=200),
        ],
        200.0,
    ) == [1, 3]
    assert set(table.endpoints) == {2, 4} and not table.merge(make_statement(1, stated_at=300))
    for endpoint_id in range(10, MAX_GONE_ENDPOINTS + 50):
        table.remove(endpoint_id, 1.0)
    assert len(table.gone_times) == MAX_GONE_ENDPOINTS


def test_replace_all_when_two_endpoints_swapped_addresses_identifies_them_by_id():
    table = StatementTable()
    table.merge(make_statement(1, port=11)), table.merge(make_statement(2, port=22))
    table.replace_all(
        [
            make_statement(1, port=22, source=ListSource.LIVE, stated_at=200),
            make_statement(2, port=11, source=ListSource.LIVE, stated_at=200),
        ],
        200.0,
    )
    assert table.ids_by_address() == {("127.0.0.1", 22): [1], ("127.0.0.1", 11): [2]}
