"""The token bucket, and a comparison with the formulas of the three limiters that it replaced."""

import random

import pytest

from wickhinge.common.token_bucket import TokenBucket


def test_take_when_tokens_are_short_takes_nothing():
    bucket = TokenBucket(10.0, 10.0, 0.0, tokens=4.0)
    assert not bucket.take(5.0, 0.0) and bucket.tokens == 4.0
    assert bucket.take(5.0, 0.1) and bucket.tokens == 0.0


def test_take_on_credit_when_any_token_is_left_goes_into_debt():
    bucket = TokenBucket(10.0, 10.0, 0.0, tokens=1.0)
    assert bucket.take_on_credit(21.0, 0.0) and bucket.tokens == -20.0
    assert not bucket.take_on_credit(1.0, 2.0) and bucket.take_on_credit(1.0, 2.5)


def test_refill_when_the_clock_is_set_back_earns_nothing():
    bucket = TokenBucket(10.0, 10.0, 5.0, tokens=0.0)
    bucket.refill(4.0)
    assert bucket.tokens == 0.0
    bucket.refill(4.5)
    assert bucket.tokens == 5.0


def test_resize_when_smaller_drops_tokens_above_the_capacity():
    bucket = TokenBucket(10.0, 10.0, 0.0, tokens=10.0)
    bucket.resize(1.0, 2.0)
    assert (bucket.rate, bucket.capacity, bucket.tokens) == (1.0, 2.0, 2.0)


@pytest.mark.parametrize("amount, seconds", [(4.0, 0.0), (9.0, 0.5), (10.5, float("inf"))])
def test_wait_time_when_tokens_are_short_returns_the_seconds_until_they_accrue(amount, seconds):
    assert TokenBucket(10.0, 10.0, 0.0, tokens=4.0).wait_time(amount) == seconds


def test_refill_when_compared_with_the_replaced_formulas_gives_the_same_numbers():
    chance = random.Random(1)
    bucket = TokenBucket(3.7, 3.7, 0.0, tokens=3.7)
    tokens, refilled_at, now = 3.7, 0.0, 0.0
    for _ in range(2000):
        now += chance.random() - 0.1
        amount = chance.random() * 3
        if now > refilled_at:
            tokens = min(tokens + 3.7 * (now - refilled_at), 3.7)
        refilled_at = now
        is_taken = tokens >= amount
        tokens -= amount * is_taken
        assert bucket.take(amount, now) is is_taken and bucket.tokens == tokens
