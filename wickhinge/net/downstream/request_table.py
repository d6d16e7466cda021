"""Visits under way, in numbered slots; a door is the module's Caller for one of them."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

from wickhinge.interface import AttemptParameters, Idempotency, RejectionReason, Request
from wickhinge.net.downstream.request_log import SERVED, RequestLog, RequestTrace, Step
from wickhinge.net.runtime.buffers import Body, BufferPool
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.slots import Slots
from wickhinge.net.upstream.attempts import Attempts

HEX = re.compile(r"[0-9a-f]{16}\Z").match
MARK = re.compile(r"[0-9A-Za-z_-]{1,64}\Z").match  # nothing that parts fields on the way to a cache
LEAST, MOST = 1, 2000  # milliseconds of patience, the most for each second of the tariff's own
BODY = 48_000
RIDS = 2048
GROUPS = 255
SLACK = 0.001  # a forward that may run as long as its visit has no deadline of its own
LATEST = 0.01  # past a visit's patience: by then the module has answered, or it never will


class InvalidRequestError(Exception):
    """A request that can be read but not used: the text names the field."""


class DownstreamRequest:
    __slots__ = (
        "visits",
        "client",
        "call",
        "rid",
        "passed",
        "body",
        "request_class",
        "since",
        "final",
        "answer",
        "visit",
        "out",
        "number",
        "trace",
        "reason",
        "until",
        "cached",
        "missed",
    )

    def __init__(
        self,
        visits: RequestTable,
        client: Any,
        call: int,
        rid: str,
        request_class: Any,
        since: float,
        unread: float = 0.0,
    ) -> None:
        self.visits, self.client, self.call, self.request_class, self.since = visits, client, call, request_class, since
        self.rid = rid.encode()
        self.passed = ""  # what goes on unchanged
        self.cached = ""  # the tag of the client's own copy
        self.body, self.final, self.answer, self.number, self.until = None, False, "", 0, 0.0
        self.visit: Any = None
        self.missed: Any = None  # the connection on which a look missed last
        self.out: dict[Any, int] = {}
        self.trace = RequestTrace(since, unread)
        self.reason = ""  # why it ended unserved

    # RequestTransport.

    def forward(self, parameters: AttemptParameters) -> None:
        self.visit = parameters.attempt.request
        self.visits.forwards.send(self, parameters)

    def cancel(self, attempt: Any) -> None:
        number = self.out.get(attempt)
        if number is not None:
            self.visits.forwards.cancel(number)

    def serve_copy(self, copy: Any) -> None:
        self.visits.copies.read(self, copy)

    def reject(self, retry_after: float, reason: RejectionReason) -> None:
        fields = {"backoff": str(int(retry_after * 1000))} if retry_after > 0 else {}
        self.end("denied", reason.value, lambda client: client.error(self.call, "Overloaded", fields))

    def fail(self, reason: RejectionReason) -> None:
        self.end("abandoned", reason.value, lambda client: client.error(self.call, "Abandoned", {}))

    # What happens to it.

    def serve(self, body: Any, same: bool) -> None:
        if self.final:
            if body is not None:
                body.release()
            return
        fields = {"keep": "1"} if same else {}
        self.end(SERVED, "", lambda client: client.serve(self.call, body, fields))

    def broken(self) -> None:
        """A fault of ours: nothing is known of what ran, so nothing is promised."""
        if not self.final:
            self.end("broken", "a fault of ours", lambda client: client.error(self.call, "Internal", {}))
        if self.visit is not None:
            self.visit.is_finished = True
        for number in list(self.out.values()):
            self.visits.forwards.cancel(number)

    def end(self, answer: str, reason: str, tell: Callable[[Any], None]) -> None:
        if self.final:
            return
        self.final, self.answer, self.reason = True, answer, reason
        client, self.client = self.client, None
        if client is not None:
            tell(client)
        self.recall()
        self.settle()

    def left(self) -> bool:
        """Whether it is over, or its client has closed or given it up: read from its socket if that may lie there."""
        client = self.client
        if client is not None and not client.awaits(self.call):
            self.visits.gone(self, "found gone before an attempt")
        return self.final

    def recall(self) -> None:
        """It is over: what of it still waits to be written is not sent, also where nothing may be withdrawn."""
        for number in list(self.out.values()):
            self.visits.forwards.recall(number, True)

    def fits(self, told: bytes, body: Any) -> bool:
        """Whether this can be the answer: a copy carries its tag and its age."""
        return body is not None and (self.request_class.pass_through or b"etag=" in told and b"made=" in told)

    def forgotten(self, forward: Any) -> None:
        self.out.pop(forward, None)
        self.settle()

    def settle(self) -> None:
        """The slot is free again once the visit is answered and nothing of it is out."""
        if self.final and not self.out and self.visits.slots.drop(self.number) is self:
            self.visits.ended(self)


class RequestTable:
    def __init__(
        self,
        forwards: Attempts,
        deadlines: Deadlines,
        pool: BufferPool,
        request_classes: dict[str, Any],
        log: Callable[..., None],
        fault: Callable[[str], None],
    ) -> None:
        self.forwards, self.deadlines, self.pool, self.request_classes = forwards, deadlines, pool, request_classes
        self.log, self.fault = log, fault
        self.requests = RequestLog(log)
        self.slots = Slots()
        self.router: Any = None
        self.copies: Any = None  # of our own, where there are any
        self.rids: set[str] = set()  # the latest: an id is new with every visit, also with a repeat
        self.before: set[str] = set()
        self.taken = 0
        self.answers: dict[str, int] = {}

    def take(
        self, client: Any, call: int, method: str, fields: dict[str, str], body: bytes, arrival: float
    ) -> DownstreamRequest:
        """arrival: when its last byte came, at the earliest; its time counts from then."""
        now = self.deadlines.now()
        request_class = self.request_classes.get(method)
        if request_class is None:
            raise InvalidRequestError("method names no tariff")
        rid = digits(fields, "rid")
        waited = max(now - arrival, 0.0)
        patience = whole(fields, "budget", LEAST, int(MOST * request_class.timeout)) / 1000.0 - waited
        part = whole(fields, "block", 0, 1 << 31, 0)
        group = whole(fields, "family", 0, GROUPS, 0)
        key = 0 if request_class.pass_through and "obj" not in fields else int(digits(fields, "obj"), 16)
        if len(body) > BODY:
            raise InvalidRequestError(f"the body holds over {BODY} bytes")
        if not MARK(fields.get("token", "-")):
            raise InvalidRequestError("field token is no mark of up to 64 letters and digits")
        if rid in self.rids or rid in self.before:
            raise InvalidRequestError("field rid was used before")
        door = DownstreamRequest(self, client, call, rid, request_class, now, waited)
        door.body = Body(self.pool, body) if body else None
        door.passed = f"queue={method}"
        if "token" in fields:
            # By it the origin drops a repeat: a ticketed visit without its mark would have its effect twice.
            door.passed += f",uniq={fields['token']}"
        if "obj" in fields:
            door.passed += f",path={fields['obj']}"
        if "block" in fields:
            door.passed += f",blk={fields['block']}"
        if not request_class.pass_through and HEX(fields.get("cached", "")):
            door.cached = fields["cached"]
        self.rids.add(rid)
        if len(self.rids) >= RIDS:
            self.before, self.rids = self.rids, set()
        door.number = self.slots.put(door)
        self.taken += 1
        door.until = now + patience - SLACK
        try:
            request = Request(key, part, group, 0.0, patience, "again" in fields)
            visit = self.router.route(door, request_class, request, now, waited)
            if not door.final:  # over already, it would only close the circle that ended() opens
                door.visit = visit
        except Exception:
            self.fault("visit")
            door.broken()
        if not door.final:
            self.deadlines.at(now + patience + LATEST, self.overdue, door.number)
        return door

    def overdue(self, number: int) -> None:
        door = self.slots.get(number)
        for forward in list(door.out.values()) if door is not None else ():
            self.forwards.expire(forward)
        if door is not None and not door.final:
            self.log("overdue", rid=door.rid.decode(), steps=door.trace.lines())
            door.broken()

    def gone(self, door: DownstreamRequest, why: str) -> None:
        """The client has left, or given the request up: nothing is owed."""
        door.client = None
        if door.final:
            return
        door.final, door.answer, door.reason = True, "gone", why
        door.trace.add(self.deadlines.now(), Step.CLIENT_LEFT, 0, why)
        if door.visit is not None:
            door.visit.finish()
        door.recall()
        door.settle()

    def refuse(self, door: DownstreamRequest) -> None:
        """Its connection ends by the client's fault: answered while that is still there."""
        if not door.final and door.visit is not None:
            door.visit.give_up(self.deadlines.now(), RejectionReason.CLIENT_ERROR)

    def give_up(self) -> None:
        """The router ends: what is still open is answered while somebody can hear it."""
        for door in self.slots:
            if not door.final and door.visit is not None:
                door.visit.give_up(self.deadlines.now(), RejectionReason.SHUTTING_DOWN)

    def open(self) -> int:
        return sum(not door.final for door in self.slots)

    def ended(self, door: DownstreamRequest) -> None:
        if door.body is not None:
            door.body.release()
        visit, door.visit = door.visit, None
        if visit is not None:
            visit.attempts.clear()  # they name the visit: a circle that only the collector would find
        self.answers[door.answer] = self.answers.get(door.answer, 0) + 1
        self.requests.ended(
            self.deadlines.now(),
            door.rid,
            door.answer,
            door.reason,
            door.trace,
            request_class=door.request_class.name,
            patience=round((door.until - door.since) * 1000),
            repeat=visit.is_retry if visit else None,
            part=visit.part if visit else None,
            work=round(visit.work * 1000) if visit else None,
            exclusive=door.request_class.idempotency is Idempotency.NOT_IDEMPOTENT,
        )


def digits(fields: dict[str, str], field: str) -> str:
    value = fields.get(field)
    if value is None:
        raise InvalidRequestError(f"field {field} is missing")
    if not HEX(value):
        raise InvalidRequestError(f"field {field} is not 16 hex digits")
    return value


def whole(fields: dict[str, str], field: str, least: int, most: int, default: int | None = None) -> int:
    value = fields.get(field)
    if value is None and default is not None:
        return default
    if value is None:
        raise InvalidRequestError(f"field {field} is missing")
    if not value.isascii() or not value.isdigit() or len(value) > 12 or not least <= int(value) <= most:
        raise InvalidRequestError(f"field {field} is not a whole number from {least} to {most}")
    return int(value)
