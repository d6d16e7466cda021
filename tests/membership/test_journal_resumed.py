"""The journal goes on from the event that a stored list knew of."""

import pytest

from tests.support.connections import reading
from wickhinge.net.control.endpoint_watch import MalformedFrameError


@pytest.mark.parametrize("frames, last", [([(3, 0)], 0), ([(9, 1)], 0), ([(7, 0)], 7), ([(8, 1)], 8)])
def test_resume_when_event_numbers_start_anew_or_have_a_gap_asks_for_all_again(frames, last):
    watch, events = reading(0)
    caught_up = []
    watch.listener.caught_up = lambda: caught_up.append(watch.is_unbroken)
    watch.resume_list(7)
    for number, kind in frames:
        if last:
            watch.apply_frame(number, kind, b"")
        else:
            with pytest.raises(MalformedFrameError):
                watch.apply_frame(number, kind, b"")
    assert (
        watch.last_number == last
        and watch.is_unbroken is bool(last)
        and caught_up == ([True] if frames == [(7, 0)] else [])
    )
