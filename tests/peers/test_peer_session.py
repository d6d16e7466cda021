"""Tests that a peer session accepts each fresh datagram once, and only from the incarnation that has the name."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wickhinge.peers.messages import Stamp
from wickhinge.peers.peer_session import COUNTER_LIMIT, REPLAY_WINDOW, PeerSession, Verdict
from wickhinge.routing.random_source import RandomSource


def judge_stamp(session, epoch, incarnation, counter, token, echo, now, random_source):
    return session.judge(Stamp(epoch, incarnation, counter, token, echo), now, random_source)


def make_session(epoch=1, incarnation=50, counter=10):
    """Return a session that has adopted this incarnation by a datagram with this counter."""
    session = PeerSession("n1")
    token = session.token_to_send(RandomSource(1), 0.0)
    assert judge_stamp(session, epoch, incarnation, counter, 7, token, 0.0, RandomSource(1)) is Verdict.ADOPTED
    return session


@given(st.lists(st.integers(1, 200), max_size=120))
def test_judge_when_counters_arrive_in_any_order_accepts_each_once(counters):
    session, accepted, highest = make_session(counter=100), {100}, 100
    for counter in counters:
        verdict = judge_stamp(session, 1, 50, counter, 0, 0, 1.0, RandomSource(1))
        assert verdict == (
            Verdict.REPLAYED if counter in accepted or highest - counter > REPLAY_WINDOW else Verdict.FRESH
        )
        if verdict == Verdict.FRESH:
            accepted.add(counter)
            highest = max(highest, counter)


@pytest.mark.parametrize(
    "epoch, incarnation, is_token_echoed, verdict",
    [
        (1, 50, False, Verdict.FRESH),
        (1, 49, True, Verdict.SUPERSEDED),
        (1, 51, False, Verdict.UNPROVEN),
        (1, 51, True, Verdict.ADOPTED),
        (2, 1, True, Verdict.ADOPTED),
        (0, 99, True, Verdict.UNCLAIMED),
        (0, 99, False, Verdict.UNPROVEN),
        (COUNTER_LIMIT, 1, True, Verdict.REPLAYED),
        (1, 0, True, Verdict.REPLAYED),
    ],
)
def test_judge_when_an_incarnation_is_unknown_adopts_it_only_if_it_echoes_the_token_and_is_larger(
    epoch, incarnation, is_token_echoed, verdict
):
    session, source = make_session(), RandomSource(3)
    judge_stamp(session, 3, 3, 1, 7, 0, 1.0, source)  # The session draws a token for the unknown incarnation (3, 3).
    assert (
        judge_stamp(session, epoch, incarnation, 11, 7, session.own_token if is_token_echoed else 12345, 1.1, source)
        == verdict
    )
    assert (session.epoch, session.incarnation) == ((epoch, incarnation) if verdict == Verdict.ADOPTED else (1, 50))


def test_judge_when_a_token_is_echoed_again_or_a_counter_jumps_refuses_the_datagram():
    session, source = make_session(), RandomSource(3)
    judge_stamp(session, 3, 3, 1, 7, 0, 1.0, source)
    token = session.own_token
    assert judge_stamp(session, 3, 3, 2, 7, token, 1.0, source) == Verdict.ADOPTED
    assert judge_stamp(session, 4, 4, 1, 7, token, 1.1, source) == Verdict.UNPROVEN
    assert judge_stamp(session, 3, 3, 1 << 40, 7, 0, 1.2, source) == Verdict.REPLAYED
    assert judge_stamp(session, 3, 3, 3, 7, 0, 1.2, source) == Verdict.FRESH
