"""Visits under way, in numbered slots; a door is the module's Caller for one of them."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

from wickhinge.interface import AttemptParameters, Idempotency, RejectionReason, Request
from wickhinge.net.runtime.buffers import Body, BufferPool
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.slots import Slots
from wickhinge.net.upstream.attempts import Attempts
from wickhinge.net.upstream.request_log import SERVED_RESULT, RequestLog, RequestTrace, Step

HEX = re.compile(r"[0-9a-f]{16}\Z").match
IDEMPOTENCY_KEY = re.compile(r"[0-9A-Za-z_-]{1,64}\Z").match  # nothing that parts fields on the way to a server
MIN_BUDGET_MS = 1
MAX_BUDGET_MS_PER_S = 2000  # for each second of the request class's own timeout
MAX_BODY_BYTES = 48_000
MAX_RIDS = 2048  # in each of the two sets of latest ids
MAX_GROUP = 255
MAX_PART = 1 << 31
SLACK_S = 0.001  # an attempt that may run as long as its request has no deadline of its own
ANSWERED_WITHIN_S = 0.01  # past a request's timeout: by then the decisions have answered, or they never will


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
        self.visits.local_copies.read(self, copy)

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
        self.end(SERVED_RESULT, "", lambda client: client.serve(self.call, body, fields))

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
        self.request_log = RequestLog(log)
        self.slots = Slots()
        self.decisions, self.local_copies = forwards.decisions, forwards.local_copies
        self.rids: set[str] = set()  # the latest: an id is new with every visit, also with a repeat
        self.before: set[str] = set()
        self.taken = 0
        self.answers: dict[str, int] = {}

    def take(
        self, client: Any, call: int, method: str, fields: dict[str, str], body: bytes, arrival: float
    ) -> DownstreamRequest:
        """arrival: when its last byte came, at the earliest; its time counts from then."""
        now = self.deadlines.now()
        waited = max(now - arrival, 0.0)
        request_class = self.request_classes.get(method)
        if request_class is None:
            raise InvalidRequestError("method names no tariff")
        rid = hex_field(fields, "rid")
        request = parse_request(fields, request_class, waited)
        check_body_and_key(fields, body)
        self._remember(rid)
        door = DownstreamRequest(self, client, call, rid, request_class, now, waited)
        door.body = Body(self.pool, body) if body else None
        door.passed = forwarded_fields(method, fields)
        if not request_class.pass_through and HEX(fields.get("cached", "")):
            door.cached = fields["cached"]
        door.number = self.slots.put(door)
        self.taken += 1
        door.until = now + request.timeout - SLACK_S
        self._route(door, request, now, waited)
        if not door.final:
            self.deadlines.at(now + request.timeout + ANSWERED_WITHIN_S, self.overdue, door.number)
        return door

    def _remember(self, rid: str) -> None:
        """Raises InvalidRequestError for one of the latest ids; of them at least MAX_RIDS are known."""
        if rid in self.rids or rid in self.before:
            raise InvalidRequestError("field rid was used before")
        self.rids.add(rid)
        if len(self.rids) >= MAX_RIDS:
            self.before, self.rids = self.rids, set()

    def _route(self, door: DownstreamRequest, request: Request, now: float, waited: float) -> None:
        """Hands the request to the decisions; a fault of theirs ends this request alone."""
        try:
            visit = self.decisions.route(door, door.request_class, request, now, waited)
            if not door.final:  # over already, it would only close the circle that ended() opens
                door.visit = visit
        except Exception:
            self.fault("visit")
            door.broken()

    def overdue(self, number: int) -> None:
        door = self.slots.get(number)
        for forward in list(door.out.values()) if door is not None else ():
            self.forwards.expire(forward)
        if door is not None and not door.final:
            self.log("request_overdue", rid=door.rid.decode(), steps=door.trace.log_steps())
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

    def give_up(self, ending_after: float = 0.0) -> None:
        """The router ends: what is still open, and would be until after that time, is answered while somebody can hear
        it.
        """
        for door in self.slots:
            if not door.final and door.visit is not None and door.until > ending_after:
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
        self.request_log.log_end(
            self.deadlines.now(),
            door.rid,
            door.answer,
            door.reason,
            door.trace,
            request_class=door.request_class.name,
            timeout_ms=round((door.until - door.since) * 1000),
            repeat=visit.is_retry if visit else None,
            part=visit.part if visit else None,
            work=round(visit.work * 1000) if visit else None,
            exclusive=door.request_class.idempotency is Idempotency.NOT_IDEMPOTENT,
        )


def parse_request(fields: dict[str, str], request_class: Any, waited: float) -> Request:
    """What the decisions need to know; waited: seconds of its time that are over. Raises InvalidRequestError."""
    max_budget_ms = int(MAX_BUDGET_MS_PER_S * request_class.timeout)
    timeout = whole_field(fields, "budget", MIN_BUDGET_MS, max_budget_ms) / 1000.0 - waited
    part = whole_field(fields, "block", 0, MAX_PART, 0)
    group = whole_field(fields, "family", 0, MAX_GROUP, 0)
    has_no_object = request_class.pass_through and "obj" not in fields
    key = 0 if has_no_object else int(hex_field(fields, "obj"), 16)
    return Request(key, part, group, 0.0, timeout, "again" in fields)


def check_body_and_key(fields: dict[str, str], body: bytes) -> None:
    """Raises InvalidRequestError for a body or an idempotency key that no server is to get."""
    if len(body) > MAX_BODY_BYTES:
        raise InvalidRequestError(f"the body holds over {MAX_BODY_BYTES} bytes")
    if not IDEMPOTENCY_KEY(fields.get("token", "-")):
        raise InvalidRequestError("field token is no mark of up to 64 letters and digits")


def forwarded_fields(method: str, fields: dict[str, str]) -> str:
    """What goes on to the servers unchanged, in their words."""
    forwarded = f"queue={method}"
    if "token" in fields:
        # By it the origin drops a repeat: without its key a request would have its effect twice.
        forwarded += f",uniq={fields['token']}"
    if "obj" in fields:
        forwarded += f",path={fields['obj']}"
    if "block" in fields:
        forwarded += f",blk={fields['block']}"
    return forwarded


def hex_field(fields: dict[str, str], field: str) -> str:
    """A field of 16 hex digits. Raises InvalidRequestError."""
    value = fields.get(field)
    if value is None:
        raise InvalidRequestError(f"field {field} is missing")
    if not HEX(value):
        raise InvalidRequestError(f"field {field} is not 16 hex digits")
    return value


def whole_field(fields: dict[str, str], field: str, least: int, most: int, default: int | None = None) -> int:
    """A whole number within bounds; default: where the field is missing. Raises InvalidRequestError."""
    value = fields.get(field)
    if value is None and default is not None:
        return default
    if value is None:
        raise InvalidRequestError(f"field {field} is missing")
    if not value.isascii() or not value.isdigit() or len(value) > 12 or not least <= int(value) <= most:
        raise InvalidRequestError(f"field {field} is not a whole number from {least} to {most}")
    return int(value)
