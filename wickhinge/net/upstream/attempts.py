"""Forwards and probes under way, in numbered slots: out to a cache, back into the module's outcome."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Any

from wickhinge.clocks import RemoteClock
from wickhinge.interface import AttemptParameters, CacheStatus, Completion, Outcome
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.slots import Slots
from wickhinge.net.upstream import resp
from wickhinge.net.upstream.attempt_results import OUTCOMES_BY_RESULT, RESULTS_BY_STATUS, AttemptResult
from wickhinge.net.upstream.connection_pools import ConnectionPools
from wickhinge.net.upstream.request_log import Step

PROBED = (AttemptResult.UP, AttemptResult.DOWN)
PROMPT = 0.005  # seconds from a look at client, time and list to the write: past it they are looked at again
LATER = 0.005  # seconds from the decision to the write, from which the log tells of it
CACHE_STATUS_BY_CODE = {b"hfojsrblnx"[place : place + 1]: note for place, note in enumerate(CacheStatus)}


class SentAttempt:
    """One forward on its way; for a probe there is no door and no forward, only the cache."""

    __slots__ = (
        "downstream_request",
        "attempt",
        "server",
        "connection",
        "tag",
        "sent_at",
        "deadline",
        "first_byte_deadline",
        "fields",
        "offered_copy",
        "is_fill",
    )

    def __init__(self, door: Any, forward: Any, cache: Any, since: float, until: float) -> None:
        """since: decided; until: nobody waits for it any more."""
        self.downstream_request, self.attempt, self.server, self.sent_at, self.deadline = (
            door,
            forward,
            cache,
            since,
            until,
        )
        self.first_byte_deadline = inf  # no byte of it may be written for the first time later
        self.fields = ""  # as they go out, but for the budget, which is what is left then
        self.offered_copy: Any = None  # the copy whose tag goes with it: the client's (its tag), or one of our own
        self.connection: Any = None
        self.tag = b""
        self.is_fill = False  # a miss is filled there: it cannot end as one


def always_up_to_date(now: float) -> bool:  # noqa: ARG001  AttemptPorts
    """Stands in where nobody tells of lists."""
    return True


@dataclass(frozen=True, slots=True)
class AttemptPorts:
    """Whom Attempts report to and ask; the optional subsystems are None where they are off."""

    decisions: Any  # the Router of wickhinge.routing
    others_time: RemoteClock
    is_up_to_date: Callable[[float], bool] = always_up_to_date  # whether all that was told until lately is known
    local_copies: Any = None
    membership: Any = None  # says which servers are there while nobody vouches for it


class Attempts:
    """All attempts and health checks under way; the owner of what goes over the connections."""

    def __init__(
        self,
        caches: ConnectionPools,
        deadlines: Deadlines,
        ports: AttemptPorts,
        probe_within: float,
        fault: Callable[[str], None],
    ) -> None:
        """Parameters as named; probe_within: seconds; fault: called within the handling of an exception."""
        self.pools, self.deadlines, self.probe_within = caches, deadlines, probe_within
        self.fault = fault
        self.slots = Slots()
        self.decisions, self.local_copies, self.membership = ports.decisions, ports.local_copies, ports.membership
        self.others_time, self._is_up_to_date = ports.others_time, ports.is_up_to_date
        caches.set_owner(self)

    def send(self, door: Any, parameters: AttemptParameters) -> int:
        forward, cache, source = parameters.attempt, parameters.server, parameters.source
        oldest, fields = parameters.max_age, ""
        if source is not None and source is not cache:
            fields += f",src=s-{source.id:08x}"
        if parameters.retention_rank:
            fields += f",keep={parameters.retention_rank}"
        if self.membership is not None and not door.request_class.pass_through:
            oldest = self.membership.limit_copy_age(oldest)
        if oldest is not None:
            # 0 would lift the limit, and rounding up would widen it.
            fields += f",maxage={max(int(oldest * 1000), 1)}"
        if parameters.collapse or parameters.only_if_cached or parameters.revalidate:
            words = (
                ("coalesce", parameters.collapse),
                ("shallow", parameters.only_if_cached),
                ("freshen", parameters.revalidate),
            )
            fields += ",flags=" + "+".join(word for word, on in words if on)
        if parameters.only_if_cached and door.missed_connection is not None:
            door.missed_connection.block_tag(
                door.rid
            )  # this may end as a miss, and the look's, come twice, would be taken for it
        now = self.deadlines.now()
        sent = SentAttempt(door, forward, cache, now, now + parameters.timeout)
        if parameters.begin_within is not None:
            sent.first_byte_deadline = now + parameters.begin_within
        sent.is_fill = source is not None and source is not cache and not parameters.only_if_cached
        if door.client_etag:
            sent.offered_copy = door.client_etag
            fields += f",have={door.client_etag}"
        elif forward.request.local_copy is not None:
            sent.offered_copy = forward.request.local_copy
            fields += f",have={sent.offered_copy.etag.decode()}"
        sent.fields = fields
        return self.put(sent, door.rid, parameters.timeout)

    def probe(self, cache: Any, then: Any = None) -> None:
        """then: who hears of it in the module's place."""
        now = self.deadlines.now()
        self.put(SentAttempt(None, then, cache, now, now + self.probe_within), b"", self.probe_within)

    def put(self, sent: SentAttempt, tag: bytes, patience: float) -> int:
        number = self.slots.put(sent)
        sent.tag = tag or b"p%d" % number
        if sent.downstream_request is not None:
            sent.downstream_request.open_attempts[sent.attempt] = number
            source = sent.attempt.source.id if sent.attempt.source is not sent.server else 0
            sent.downstream_request.trace.add(sent.sent_at, Step.SENT, sent.server.id, (round(patience * 1000), source))
            if sent.downstream_request.check_ended():
                self.deadlines.call_soon(self.attempt_ended, number, AttemptResult.RECALLED)
                return number
        machine = self.pools.pools_by_id.get(sent.server.id)  # none: gone meanwhile, and freed
        if machine is not None:
            probe = resp.pack(b"STAT", sent.tag) if sent.downstream_request is None else None
            sent.connection = machine.send(sent.tag, number, probe)
        if sent.connection is None:
            self.deadlines.call_soon(self.attempt_ended, number, AttemptResult.NO_DESCRIPTOR)
        elif sent.downstream_request is None or sent.sent_at + patience < sent.downstream_request.deadline:
            self.deadlines.call_at(sent.sent_at + patience, self.expire, number)
        # Else it runs out with its visit, which ends what is out: one deadline less for nearly every forward.
        return number

    def expire(self, number: int) -> None:
        self.halt(number)
        self.attempt_ended(number, AttemptResult.RESPONSE_TIMED_OUT)

    def cancel(self, number: int) -> None:
        """Stopped now; the module hears of it on the next turn, since this is called from within it."""
        self.halt(number)
        self.deadlines.call_soon(self.attempt_ended, number, AttemptResult.CANCELLED)

    def recall(self, number: int, whole: bool = False) -> None:
        """Not sent after all where it still waits for its connection. whole: also where it has begun to go; the
        rest would make it a request, sent after its visit was over.
        """
        sent = self.slots.get(number)
        if sent is None or sent.connection is None or sent.tag not in sent.connection.unwritten_tags:
            return
        if whole or sent.connection.waits(sent.tag):
            sent.connection.cancel(sent.tag, sent.sent_at)
            self.deadlines.call_soon(self.attempt_ended, number, AttemptResult.RECALLED)

    def recall_unwritten(self, holds: Callable[[SentAttempt], bool]) -> None:
        """Something was told that forms a bar to what was decided before it. A send counts from its first byte, and
        a connection may come up, or take more, long after the bar's grace.
        """
        for machine in self.pools.pools_by_id.values():
            for number in [
                line.pending[tag] for line in machine.connections for tag in line.unwritten_tags if tag in line.pending
            ]:
                sent = self.slots.get(number)
                if sent is not None and sent.downstream_request is not None and not holds(sent):
                    sent.downstream_request.trace.add(
                        self.deadlines.now(), Step.TAKEN_BACK, sent.server.id, "told meanwhile"
                    )
                    self.recall(number)

    def build_frame(self, number: int) -> bytes | None:
        """A request as it goes out now; None where it is not to be sent any more. The process may have stood still
        since it was decided, and its connection may have come up late: so its client, its time and what was told are
        looked at here, and once more where this took long.
        """
        sent = self.slots.get(number)
        if sent is None or sent.downstream_request is None:
            return None
        while True:
            now = self.deadlines.now()
            if sent.downstream_request.check_ended():
                self.deadlines.call_soon(
                    self.attempt_ended, number, AttemptResult.RECALLED
                )  # where nothing may be withdrawn
                return None
            if now >= sent.deadline:
                self.take_back(number, "its time was over before it was written")
                return None
            if now >= sent.first_byte_deadline:
                self.take_back(number, "the servers may have forgotten its key")
                return None
            if not self._is_up_to_date(now):
                self.take_back(number, "decided by an old list")
                return None
            data = self.request(sent, now)
            if self.deadlines.now() - now <= PROMPT:
                break
        if now - sent.sent_at > LATER:
            sent.downstream_request.trace.add(now, Step.WRITTEN_LATER, sent.server.id)
        return data

    def request(self, sent: SentAttempt, now: float) -> bytes:
        door = sent.downstream_request
        budget = max(int((sent.deadline - now) * 1000), 1)
        body = b"".join(door.body.views()) if door.body is not None else b""
        return resp.pack(b"REQ", door.rid, f"{door.upstream_fields},budget={budget}{sent.fields}".encode(), body)

    def take_back(self, number: int, why: str) -> None:
        """Nothing of it has been written: it is decided anew on the next turn."""
        sent = self.slots.get(number)
        sent.downstream_request.trace.add(self.deadlines.now(), Step.TAKEN_BACK, sent.server.id, why)
        if sent.connection is not None:
            sent.connection.cancel(sent.tag, sent.sent_at)
        self.deadlines.call_soon(self.attempt_ended, number, AttemptResult.RECALLED)

    def halt(self, number: int) -> None:
        sent = self.slots.get(number)
        if sent is not None and sent.connection is not None:
            sent.connection.cancel(sent.tag, sent.sent_at)

    def response_received(self, number: int, word: bytes, told: bytes, body: Any) -> bool | None:
        """False for a word that does not fit what was asked: nothing on that connection can be trusted. None for one
        that is not the answer: the look's miss once more, as its fill goes under the same id.
        """
        end, sent = RESULTS_BY_STATUS.get(word, AttemptResult.UNREADABLE), self.slots.get(number)
        if end is AttemptResult.MISS and sent is not None and sent.is_fill:
            if body is not None:
                body.release()
            return None
        if sent is not None and (
            (end in PROBED) != (sent.downstream_request is None)
            or end is AttemptResult.NOT_MODIFIED
            and (sent.offered_copy is None or b"made=" not in told)
            or end is AttemptResult.SERVED
            and sent.downstream_request is not None
            and not sent.downstream_request.is_valid_answer(told, body)
        ):
            end = AttemptResult.UNREADABLE
        if end is AttemptResult.MISS and sent is not None and sent.downstream_request is not None:
            sent.downstream_request.missed_connection = sent.connection
        if sent is not None and sent.connection is not None and end not in (AttemptResult.MISS, AttemptResult.SERVED):
            # The visit may come again to this machine. A second answer, some milliseconds late, would then end that
            # forward while it runs; refused twice and run once, an exclusive visit would be sent a second time.
            sent.connection.block_tag(sent.tag)
        self.attempt_ended(number, end, b"-" if end is AttemptResult.UNREADABLE else told, body)
        return end is not AttemptResult.UNREADABLE

    def attempt_ended(self, number: int, end: AttemptResult, told: bytes = b"-", body: Any = None) -> None:
        sent = self.slots.drop(number)
        if sent is None:
            if body is not None:
                body.release()
            return
        now, outcome = self.deadlines.now(), OUTCOMES_BY_RESULT[end]
        door, took = sent.downstream_request, now - sent.sent_at
        if door is None:
            if body is not None:
                body.release()
            load = resp.parse_load_report(resp.parse_fields(told).get("use", ""))
            if sent.attempt is not None:
                sent.attempt(sent.server, outcome is Outcome.SUCCEEDED)
                return
            self.decisions.health_checked(sent.server, outcome, load, now)
            return
        if self.membership is not None:
            self.membership.record_attempt_outcome(sent, outcome)
        door.trace.add(now, Step.ENDED, sent.server.id, (end, told))
        if outcome is Outcome.SUCCEEDED:
            if self.local_copies is not None and not door.has_ended:
                self.local_copies.store_response(sent.attempt.request, resp.parse_fields(told), body)
            door.serve(body, False)
        elif body is not None:
            body.release()
        if end in (AttemptResult.SERVED, AttemptResult.NOT_MODIFIED) and (made := resp.parse_made_ms(told)) is not None:
            self.others_time.observe(made / 1000.0, now)
        if end is AttemptResult.NOT_MODIFIED:
            if type(sent.offered_copy) is str:
                door.serve(None, True)
            else:
                self.local_copies.revalidated(sent.offered_copy, resp.parse_fields(told))
        try:
            place = told.find(b"detail=")
            note = CACHE_STATUS_BY_CODE.get(told[place + 7 : place + 8]) if place >= 0 else None
            load = resp.parse_load_report(resp.parse_fields(told).get("use", "")) if b"use=" in told else None
            completion = Completion(outcome, took, door.has_ended, note, load)
            sent.attempt.request.attempt_ended(sent.attempt, completion, now)
        except Exception:
            self.fault("forward")
            door.end_with_internal_error()
        door.attempt_ended(sent.attempt)
