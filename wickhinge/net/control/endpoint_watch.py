"""The journal service: numbered events as binary frames, taken up again at the last number had."""

from __future__ import annotations

from collections.abc import Callable
from struct import Struct
from typing import Any

from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from wickhinge.common.connector import Dial
from wickhinge.common.failed_calls import receive
from wickhinge.net.runtime.deadlines import Deadlines

HEAD = Struct(">IQB")
RECORD = Struct(">IIHBBBHIQ")
OBJECT = Struct(">QQ")
GROUP = Struct(">HQ")
NUMBER = Struct(">Q")
LONGEST = 9 + RECORD.size * 8192
NOTHING, WHOLE, CHANGES, PURGED_OBJECT, PURGED_GROUP = range(5)
QUIET = 1.6  # seconds without a frame, one of which comes each second: the connection is dead
AGAIN = 0.15  # seconds before the next try
READ = 65536  # bytes of one read
READS = 32  # in one look
SETTLED = 0.01  # seconds at least after what came last, before the service is asked whether that was all


class Unreadable(Exception):
    """No such frame; the text names the fault."""


class Stream:
    """Frames out of bytes at any split: (number, kind, payload)."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[tuple[int, int, bytes]]:
        data, place, frames = self.rest + data, 0, []
        while len(data) - place >= 4:
            length = int.from_bytes(data[place : place + 4])
            if not 9 <= length <= LONGEST:
                raise Unreadable(f"a frame of length {length}")
            if len(data) - place < 4 + length:
                break
            _, number, kind = HEAD.unpack_from(data, place)
            frames.append((number, kind, data[place + HEAD.size : place + 4 + length]))
            place += 4 + length
        self.rest = data[place:]
        return frames


def records(payload: bytes) -> list[tuple[int, ...]]:
    """id, address, port, state, zone, kind, cell, weight in thousandths, started in ms: one each machine."""
    if len(payload) % RECORD.size:
        raise Unreadable(f"a list of {len(payload)} bytes")
    return list(RECORD.iter_unpack(payload))


def fixed(form: Struct, payload: bytes) -> tuple[int, ...]:
    if len(payload) != form.size:
        raise Unreadable(f"a purge of {len(payload)} bytes")
    return form.unpack(payload)


class Reading(Protocol):
    def __init__(self, journal: Journal, told: int) -> None:
        self.journal, self.stream, self.told = journal, Stream(), told

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.write(NUMBER.pack(self.journal.last))
        self.journal.connected(self, self.told)

    def dataReceived(self, data: bytes) -> None:
        self.journal.read(self, data)

    def connectionLost(self, reason: Failure) -> None:
        self.journal.lost(self, reason.getErrorMessage())


class Journal:
    """told_list(whole, records) and told_purge(key, group, milliseconds) hear each event once, in order."""

    def __init__(
        self,
        reactor: Any,
        deadlines: Deadlines,
        address: tuple[str, int],
        last: int,
        connect_within: float,
        told_list: Callable[..., None],
        told_purge: Callable[..., None],
        log: Callable[..., None],
        caught_up: Callable[[], None] = lambda: None,
    ) -> None:
        self.deadlines, self.last = deadlines, last
        self.listed = last  # lists up to here are known: where purges are told again, those are not
        self.unbroken = False  # all since a number of an earlier start has been told, in one count
        self.resumed = False  # the list, too, is of an earlier start
        self.caught_up = caught_up
        self.turn: Callable[[], tuple[tuple[str, int], float]] | None = None  # where and when to try next
        self.connect_within = connect_within
        self.told_list, self.told_purge, self.log = told_list, told_purge, log
        self.reactor, self.address = reactor, address
        self.reading: Reading | None = None
        self.round = 0  # of tries to connect: one that belongs to an earlier round is over
        self.heard = 0.0
        self.looked = 0.0  # when all that the service had sent was last read
        self.closed = False
        self.proven = -1  # the number at which the service last said that there is nothing more
        self.pressing = False  # somebody waits for the proof that nothing more is to be told
        self.asked, self.trip = 0.0, 0.0  # when a connection was begun; what the last one took to come up

    def move(self, address: tuple[str, int]) -> None:
        """The service is elsewhere now, and the old place tells nothing more: on from the last number had."""
        if address == self.address or self.closed:
            return
        self.address = address
        reading, self.reading = self.reading, None
        if reading is not None:
            reading.transport.abortConnection()
        self.start()

    def remembered(self, number: int) -> None:
        """Before the start: purges after this number are told again. From a service that keeps its numbers."""
        if 0 < number <= self.last:
            self.last, self.unbroken = number, True

    def resume(self, number: int) -> None:
        """Before the start, where no list is known but a remembered one, of this number: on from there."""
        if number > 0 and self.last == 0:
            self.last = self.listed = number
            self.resumed = self.unbroken = True

    def anew(self, why: str) -> None:
        """What was remembered is of another count, or too old: everything is told from the first event on."""
        self.last = self.listed = 0
        self.resumed = self.unbroken = False
        raise Unreadable(why)

    def start(self, after: int | None = None) -> None:
        if self.closed or after not in (None, self.round):
            return
        self.round += 1
        told, self.asked = self.round, self.deadlines.now()
        attempt = Dial(
            self.reactor, self.address, Reading(self, told), lambda failure: self.again(failure.getErrorMessage(), told)
        )
        self.deadlines.after(self.connect_within, attempt.stop)  # which does nothing to one that is up

    def connected(self, reading: Reading, told: int) -> None:
        if told != self.round or self.closed:  # moved meanwhile
            reading.transport.abortConnection()
            return
        self.reading, self.heard = reading, self.deadlines.now()
        self.trip = self.heard - self.asked
        self.log("journal_up", last=self.last)
        self.deadlines.after(QUIET, self.check, reading)

    def again(self, why: str, told: int) -> None:
        if told == self.round and not self.closed:
            self.log("journal_lost", why=why, last=self.last)
            delay = AGAIN
            if self.turn is not None:
                self.address, delay = self.turn()
            self.deadlines.after(delay, self.start, told)

    def check(self, reading: Reading) -> None:
        if self.reading is not reading:
            return
        quiet = self.deadlines.now() - self.heard
        if quiet >= QUIET - 0.001:
            self.drop(reading, "nothing heard")
        else:
            self.deadlines.after(QUIET - quiet, self.check, reading)

    def drop(self, reading: Reading, why: str) -> None:
        self.reading = None
        reading.transport.abortConnection()
        self.again(why, self.round)

    def lost(self, reading: Reading, why: str) -> None:
        if self.reading is reading:
            self.reading = None
            self.again(why, self.round)

    def look(self) -> None:
        """Read what lies in its socket now, before the loop comes to it: the process stood still."""
        self.looked = self.deadlines.now()
        reading = self.reading
        if reading is None:
            return
        for _ in range(READS):
            try:
                data = receive(reading.transport.getHandle(), READ)
            except OSError:
                return  # the transport will tell
            if not data:
                return
            self.read(reading, data)
            if self.reading is not reading:
                return

    def read(self, reading: Reading, data: bytes) -> None:
        if self.reading is not reading:
            return  # a place that the service has left
        self.heard = self.deadlines.now()
        kind = NOTHING
        try:
            for number, kind, payload in reading.stream.feed(data):
                self.frame(number, kind, payload)
        except Unreadable as problem:
            self.drop(reading, str(problem))
            return
        if self.pressing and kind != NOTHING:
            self.pressing = False
            self.deadlines.after(max(2 * self.trip, SETTLED), self.prove, reading)

    def prove(self, reading: Reading) -> None:
        """Events came, all that there were, most likely; the frame that says so may take a second. Who connects with
        the last number is told at once that it has all. One connection more a start, and no guess.
        """
        if self.reading is reading and self.proven != self.last and not self.closed:
            self.reading = None
            reading.transport.loseConnection()
            self.start()

    def frame(self, number: int, kind: int, payload: bytes) -> None:
        """No gap or bad frame is guessed over: the connection goes, and the rest is asked for again. An event
        had already is no gap; the service may write one twice.
        """
        if kind == NOTHING and number <= self.last:
            # Below what we have, it is another count than the one that was remembered.
            self.unbroken = self.unbroken and number == self.last
            if number == self.last:
                self.pressing, self.proven = False, number
                self.caught_up()
            elif self.resumed:
                self.anew(f"event {number} is the last, and {self.last} was remembered")
        if kind == NOTHING or number <= self.last:
            return
        if number != self.last + 1:
            if self.resumed:
                self.anew(f"event {number} after {self.last}, which was remembered")
            if self.last < self.listed:  # it does not keep events for so long
                self.last, self.unbroken = self.listed, False
            raise Unreadable(f"event {number} after {self.last}")
        if kind in (WHOLE, CHANGES) and number <= self.listed:
            records(payload)
        elif kind in (WHOLE, CHANGES):
            self.told_list(kind == WHOLE, records(payload))
        elif kind == PURGED_OBJECT:
            key, stamp = fixed(OBJECT, payload)
            self.told_purge(key, 0, stamp)
        elif kind == PURGED_GROUP:
            group, stamp = fixed(GROUP, payload)
            self.told_purge(None, group, stamp)
        else:
            raise Unreadable(f"a frame of kind {kind}")
        self.last = number

    def close(self) -> None:
        self.closed = True
        if self.reading is not None:
            self.reading.transport.loseConnection()
