"""Age limit of copies while purges may be unknown to the router."""

import pytest

from wickhinge.membership.purge_gap import PurgeGap


@pytest.mark.parametrize(
    "last_update_at, max_uninformed_age_s, now, max_age_s",
    [
        (990.0, 0.0, 1000.0, 10.0),
        (990.0, 4.0, 1000.0, 4.0),
        (0.0, 0.0, 1000.0, 3.0),
        (1010.0, 0.0, 1000.0, 3.0),
        (1000.0, 0.0, 1000.0, 0.001),
        (None, 0.0, 1000.0, None),
        (None, 4.0, 1002.0, None),
        (None, 4.0, 1009.0, 4.0),
    ],
)
def test_max_copy_age_when_purges_may_be_unknown_excludes_copies_from_before_the_gap(
    last_update_at, max_uninformed_age_s, now, max_age_s
):
    gap = PurgeGap(max_uninformed_age_s, 3.0)
    gap.set_start(last_update_at) if last_update_at is not None else gap.end(1000.0)
    assert gap.max_copy_age_s(now) == max_age_s
