"""Siblings over TCP: one asks, one answers, each connection short, bounded and on its own."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from wickhinge.common.connector import ConnectAttempt
from wickhinge.membership import siblings

WITHIN = 2.0  # seconds for the whole of it
AT_ONCE = 8  # siblings answered at a time; a fleet that restarts asks again


class Answer(Protocol):
    def __init__(self, answering: Answering) -> None:
        self.answering, self.data, self.done = answering, b"", False

    def connectionMade(self) -> None:
        self.answering.open.add(self)
        if len(self.answering.open) > AT_ONCE:
            self.transport.abortConnection()
            return
        self.answering.after(WITHIN, self.over)

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        if self.done or len(self.data) < siblings.REQUEST_SIZE:
            return
        self.done = True
        try:
            nonce = siblings.read_request(self.answering.key, self.data, self.answering.now())
        except siblings.Unreadable as problem:
            self.answering.log("sibling_refused", why=str(problem), address=self.transport.getPeer().host)
            self.transport.abortConnection()
            return
        self.transport.write(siblings.answer(self.answering.key, nonce, self.answering.telling()))
        self.transport.loseConnection()

    def over(self) -> None:
        if self in self.answering.open:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure) -> None:
        self.answering.open.discard(self)


class Answering(Factory):
    """Where siblings ask; telling() gives the list as it stands."""

    noisy = False

    def __init__(
        self,
        key: bytes,
        now: Callable[[], float],
        after: Callable[..., None],
        telling: Callable[[], siblings.Told],
        log: Callable[..., None],
    ) -> None:
        self.key, self.now, self.after, self.telling, self.log = key, now, after, telling, log
        self.open: set[Answer] = set()

    def buildProtocol(self, addr: Any) -> Answer:
        return Answer(self)


class Ask(Protocol):
    def __init__(self, key: bytes, now: float, then: Callable[[siblings.Told | None, str], None]) -> None:
        self.key, self.when, self.then = key, now, then
        self.nonce = os.urandom(16)
        self.stream = siblings.Stream(key, self.nonce)

    def connectionMade(self) -> None:
        self.transport.write(siblings.request(self.key, self.nonce, self.when))

    def dataReceived(self, data: bytes) -> None:
        try:
            told = self.stream.feed(data)
        except siblings.Unreadable as problem:
            self.finish(None, str(problem))
            return
        if told is not None:
            self.finish(told, "")

    def finish(self, told: siblings.Told | None, why: str) -> None:
        then, self.then = self.then, None
        if then is not None:
            if self.transport is not None:
                self.transport.abortConnection()
            then(told, why)

    def connectionLost(self, reason: Failure) -> None:
        self.finish(None, reason.getErrorMessage())


def ask(
    reactor: Any,
    after: Callable[..., None],
    address: tuple[str, int],
    key: bytes,
    now: float,
    then: Callable[[siblings.Told | None, str], None],
) -> None:
    """then(list, "") or then(None, why), once, within WITHIN seconds."""
    made = Ask(key, now, then)
    attempt = ConnectAttempt(reactor, address, made, lambda failure: made.finish(None, failure.getErrorMessage()))

    def over() -> None:
        attempt.stop()
        made.finish(None, "it did not finish in time")

    after(WITHIN, over)
