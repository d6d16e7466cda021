"""Which datagrams a peer session accepts: fresh ones, once, of the incarnation that has the name."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wickhinge.peers.messages import Stamp
from wickhinge.peers.peer_session import MAX_NUMBER, REPLAY_WINDOW, PeerSession, Verdict
from wickhinge.routing.random_source import RandomSource


def judge(session, epoch, incarnation, counter, token, echo, now, random_source):
    return session.judge(Stamp(epoch, incarnation, counter, token, echo), now, random_source)


def proven(epoch=1, incarnation=50, counter=10):
    session = PeerSession("n1")
    token = session.challenge(RandomSource(1), 0.0)
    assert judge(session, epoch, incarnation, counter, 7, token, 0.0, RandomSource(1)) is Verdict.ADOPTED
    return session


@given(st.lists(st.integers(1, 200), max_size=120))
def test_judge_when_counters_come_in_any_order_accepts_each_once(counters):
    session, believed, highest = proven(counter=100), {100}, 100
    for counter in counters:
        verdict = judge(session, 1, 50, counter, 0, 0, 1.0, RandomSource(1))
        assert verdict == (
            Verdict.REPLAYED if counter in believed or highest - counter > REPLAY_WINDOW else Verdict.FRESH
        )
        if verdict == Verdict.FRESH:
            believed.add(counter)
            highest = max(highest, counter)


@pytest.mark.parametrize(
    "epoch, incarnation, echoes, verdict",
    [
        (1, 50, False, Verdict.FRESH),
        (1, 49, True, Verdict.SUPERSEDED),
        (1, 51, False, Verdict.UNPROVEN),
        (1, 51, True, Verdict.ADOPTED),
        (2, 1, True, Verdict.ADOPTED),
        (0, 99, True, Verdict.UNCLAIMED),
        (0, 99, False, Verdict.UNPROVEN),
        (MAX_NUMBER, 1, True, Verdict.REPLAYED),
        (1, 0, True, Verdict.REPLAYED),
    ],
)
def test_judge_when_an_incarnation_is_new_accepts_it_by_its_echo_unless_it_is_smaller(
    epoch, incarnation, echoes, verdict
):
    session, chance = proven(), RandomSource(3)
    judge(session, 3, 3, 1, 7, 0, 1.0, chance)  # a stranger, so that there is a token to echo
    assert judge(session, epoch, incarnation, 11, 7, session.token if echoes else 12345, 1.1, chance) == verdict
    assert (session.epoch, session.incarnation) == ((epoch, incarnation) if verdict == Verdict.ADOPTED else (1, 50))


def test_judge_when_a_token_is_used_again_or_a_counter_jumps_refuses():
    session, chance = proven(), RandomSource(3)
    judge(session, 3, 3, 1, 7, 0, 1.0, chance)
    token = session.token
    assert judge(session, 3, 3, 2, 7, token, 1.0, chance) == Verdict.ADOPTED
    assert judge(session, 4, 4, 1, 7, token, 1.1, chance) == Verdict.UNPROVEN
    assert judge(session, 3, 3, 1 << 40, 7, 0, 1.2, chance) == Verdict.REPLAYED
    assert judge(session, 3, 3, 3, 7, 0, 1.2, chance) == Verdict.FRESH
