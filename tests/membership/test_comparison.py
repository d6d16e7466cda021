"""Warnings about a new endpoint list that may be a mistake."""

import pytest

from tests.support.statements import make_statement
from wickhinge.membership.comparison import compare_lists


@pytest.mark.parametrize(
    "new, warning",
    [
        ([], "empty"),
        ([make_statement(1), make_statement(100, kind="parent", zone="hub")], "2 machines where 6"),
        ([make_statement(endpoint_id) for endpoint_id in range(1, 6)], "zone hub"),
        (
            [make_statement(endpoint_id) for endpoint_id in range(1, 6)]
            + [make_statement(100, kind="parent", zone="hub")],
            "",
        ),
    ],
)
def test_compare_lists_when_the_new_list_lacks_many_endpoints_or_a_whole_zone_warns(new, warning):
    known = [make_statement(endpoint_id) for endpoint_id in range(1, 6)] + [
        make_statement(100, kind="parent", zone="hub")
    ]
    comparison = compare_lists(known, new)
    assert warning in "; ".join(comparison.warnings) and bool(comparison.warnings) == bool(warning)
    assert len(comparison.gone_ids) == len(known) - len(new)
