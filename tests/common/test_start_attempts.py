"""Steps of a start that are tried again, and signals that come meanwhile."""

import os
import signal

import pytest

from wickhinge.common import start_attempts
from wickhinge.common.process_signals import ReceivedSignals
from wickhinge.common.start_attempts import (
    MAX_RETRY_DELAY_S,
    MAX_RETRY_TIME_S,
    RetryBudget,
    ShutdownRequestedError,
    StartAttempts,
    StartFailedError,
)
from wickhinge.fields import MalformedError, UnreadableFileError


class Clock:
    def __init__(self):
        self.now = 0.0

    def sleep(self, seconds):
        self.now += seconds


@pytest.fixture
def clock(monkeypatch):
    made = Clock()
    monkeypatch.setattr(start_attempts.time, "sleep", made.sleep)
    monkeypatch.setattr(start_attempts.time, "monotonic", lambda: made.now)
    return made


def test_a_budget_grows_its_delays_and_ends():
    clock = Clock()
    budget = RetryBudget(lambda: clock.now)
    delays = []
    with pytest.raises(StartFailedError, match=r"no such file \(\d+ tries in 10\.\d s\)"):
        while True:
            delays.append(budget.next_delay_s(OSError("no such file")))
            clock.sleep(delays[-1])
    assert delays == sorted(delays) and delays[-1] == MAX_RETRY_DELAY_S
    assert MAX_RETRY_TIME_S <= clock.now < MAX_RETRY_TIME_S + MAX_RETRY_DELAY_S


@pytest.mark.parametrize("problem", [UnreadableFileError("cut off"), OSError(12, "no memory")])
def test_a_step_is_tried_until_it_passes_and_told_of_once(clock, capsys, problem):
    outcomes = [problem] * 5

    def step():
        if outcomes:
            raise outcomes.pop()
        return "made"

    assert StartAttempts(ReceivedSignals()).run(step) == "made"
    assert capsys.readouterr().err.count("\n") == 1 and 0.0 < clock.now < 2.0


def test_what_is_wrong_for_good_is_not_tried_again(clock):
    def step():
        raise MalformedError("config: field seed is missing")

    with pytest.raises(MalformedError, match="seed"):
        StartAttempts(ReceivedSignals()).run(step)
    assert clock.now == 0.0


def test_a_signal_ends_a_start_that_waits(clock):
    signals, tries = ReceivedSignals(), []

    def step():
        tries.append(clock.now)
        signals.shutdown_requested = len(tries) == 3
        raise OSError(98, "address in use")

    with pytest.raises(ShutdownRequestedError):
        StartAttempts(signals).run(step)
    assert len(tries) == 3


class Loop:
    def __init__(self):
        self.calls = []

    def callFromThread(self, call):
        self.calls.append(call)
        raise OSError(5, "the loop cannot be woken just now")


@pytest.fixture
def signals():
    before = {number: signal.getsignal(number) for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)}
    made = ReceivedSignals()
    made.install()
    yield made
    for number, handler in before.items():
        signal.signal(number, handler)


def test_a_shutdown_was_requested_after_the_last_turn_that_began_before_its_signal_was_handled(signals):
    signals.record_turn_start(10.0)
    signals.record_turn_start(11.0)
    os.kill(os.getpid(), signal.SIGTERM)
    signals.record_turn_start(12.0)
    os.kill(os.getpid(), signal.SIGTERM)
    assert signals.shutdown_not_requested_before == 11.0


def test_a_signal_that_is_handled_as_a_turn_begins_may_have_come_before_it(signals):
    signals.record_turn_start(10.0)
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGTERM])
    try:
        os.kill(os.getpid(), signal.SIGTERM)
        now = 11.0  # read while the signal lies
    finally:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGTERM])
    signals.record_turn_start(now)
    assert signals.shutdown_not_requested_before == 10.0


def test_a_shutdown_that_was_requested_before_the_first_turn_has_no_earliest_time(signals):
    os.kill(os.getpid(), signal.SIGTERM)
    signals.record_turn_start(10.0)
    assert signals.shutdown_requested and signals.shutdown_not_requested_before is None


def test_signals_are_noted_and_delivered_once_a_turn_until_they_are_ignored(signals):
    loop, requests = Loop(), []
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        os.kill(os.getpid(), signal.SIGHUP)
        assert signals.reload_number == 1 and not signals.shutdown_requested
        signals.deliver_to(loop, writer, lambda: requests.append(signals.reload_number))
        for _ in range(3):
            os.kill(os.getpid(), signal.SIGHUP)
        assert len(loop.calls) == 1 and os.read(reader, 9) == bytes([signal.SIGHUP] * 3)
        loop.calls.pop()()
        assert requests == [4]
        os.kill(os.getpid(), signal.SIGINT)
        loop.calls.pop()()
        assert signals.shutdown_requested and len(requests) == 2
        signals.ignore()
        for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
            os.kill(os.getpid(), number)
        assert signals.reload_number == 4 and loop.calls == []
    finally:
        signal.set_wakeup_fd(-1)
        os.close(reader)
        os.close(writer)
