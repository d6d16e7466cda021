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
        "request_table",
        "client",
        "call_id",
        "rid",
        "upstream_fields",
        "body",
        "request_class",
        "started_at",
        "has_ended",
        "answer",
        "routed_request",
        "open_attempts",
        "number",
        "trace",
        "reason",
        "deadline",
        "client_etag",
        "missed_connection",
    )

    def __init__(
        self,
        request_table: RequestTable,
        client: Any,
        call_id: int,
        rid: str,
        request_class: Any,
        started_at: float,
        unread: float = 0.0,
    ) -> None:
        self.request_table, self.client, self.call_id, self.request_class, self.started_at = (
            request_table,
            client,
            call_id,
            request_class,
            started_at,
        )
        self.rid = rid.encode()
        self.upstream_fields = ""  # what goes on unchanged
        self.client_etag = ""  # the tag of the client's own copy
        self.body, self.has_ended, self.answer, self.number, self.deadline = None, False, "", 0, 0.0
        self.routed_request: Any = None
        self.missed_connection: Any = None  # the connection on which a look missed last
        self.open_attempts: dict[Any, int] = {}
        self.trace = RequestTrace(started_at, unread)
        self.reason = ""  # why it ended unserved

    # RequestTransport.

    def forward(self, parameters: AttemptParameters) -> None:
        self.routed_request = parameters.attempt.request
        self.request_table.attempts.send(self, parameters)

    def cancel(self, attempt: Any) -> None:
        number = self.open_attempts.get(attempt)
        if number is not None:
            self.request_table.attempts.cancel(number)

    def serve_copy(self, copy: Any) -> None:
        self.request_table.local_copies.read(self, copy)

    def reject(self, retry_after: float, reason: RejectionReason) -> None:
        fields = {"backoff": str(int(retry_after * 1000))} if retry_after > 0 else {}
        self.end("denied", reason.value, lambda client: client.send_error(self.call_id, "Overloaded", fields))

    def fail(self, reason: RejectionReason) -> None:
        self.end("abandoned", reason.value, lambda client: client.send_error(self.call_id, "Abandoned", {}))

    # What happens to it.

    def serve(self, body: Any, same: bool) -> None:
        if self.has_ended:
            if body is not None:
                body.release()
            return
        fields = {"keep": "1"} if same else {}
        self.end(SERVED_RESULT, "", lambda client: client.send_answer(self.call_id, body, fields))

    def end_with_internal_error(self) -> None:
        """A fault of ours: nothing is known of what ran, so nothing is promised."""
        if not self.has_ended:
            self.end("broken", "a fault of ours", lambda client: client.send_error(self.call_id, "Internal", {}))
        if self.routed_request is not None:
            self.routed_request.is_finished = True
        for number in list(self.open_attempts.values()):
            self.request_table.attempts.cancel(number)

    def end(self, answer: str, reason: str, tell: Callable[[Any], None]) -> None:
        if self.has_ended:
            return
        self.has_ended, self.answer, self.reason = True, answer, reason
        client, self.client = self.client, None
        if client is not None:
            tell(client)
        self.recall_attempts()
        self.release_if_settled()

    def check_ended(self) -> bool:
        """Whether it is over, or its client has closed or given it up: read from its socket if that may lie there."""
        client = self.client
        if client is not None and not client.is_request_open(self.call_id):
            self.request_table.client_left(self, "found gone before an attempt")
        return self.has_ended

    def recall_attempts(self) -> None:
        """It is over: what of it still waits to be written is not sent, also where nothing may be withdrawn."""
        for number in list(self.open_attempts.values()):
            self.request_table.attempts.recall(number, True)

    def is_valid_answer(self, told: bytes, body: Any) -> bool:
        """Whether this can be the answer: a copy carries its tag and its age."""
        return body is not None and (self.request_class.pass_through or b"etag=" in told and b"made=" in told)

    def attempt_ended(self, forward: Any) -> None:
        self.open_attempts.pop(forward, None)
        self.release_if_settled()

    def release_if_settled(self) -> None:
        """The slot is free again once the visit is answered and nothing of it is out."""
        if self.has_ended and not self.open_attempts and self.request_table.slots.drop(self.number) is self:
            self.request_table.request_ended(self)


class RequestTable:
    def __init__(
        self,
        attempts: Attempts,
        deadlines: Deadlines,
        pool: BufferPool,
        request_classes: dict[str, Any],
        log: Callable[..., None],
        fault: Callable[[str], None],
    ) -> None:
        self.attempts, self.deadlines, self.pool, self.request_classes = attempts, deadlines, pool, request_classes
        self.log, self.fault = log, fault
        self.request_log = RequestLog(log)
        self.slots = Slots()
        self.decisions, self.local_copies = attempts.decisions, attempts.local_copies
        self.recent_rids: set[str] = set()  # the latest: an id is new with every visit, also with a repeat
        self.older_rids: set[str] = set()
        self.started_count = 0
        self.answer_counts: dict[str, int] = {}

    def start_request(
        self, client: Any, call_id: int, method: str, fields: dict[str, str], body: bytes, arrival: float
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
        self._remember_rid(rid)
        request_entry = DownstreamRequest(self, client, call_id, rid, request_class, now, waited)
        request_entry.body = Body(self.pool, body) if body else None
        request_entry.upstream_fields = forwarded_fields(method, fields)
        if not request_class.pass_through and HEX(fields.get("cached", "")):
            request_entry.client_etag = fields["cached"]
        request_entry.number = self.slots.put(request_entry)
        self.started_count += 1
        request_entry.deadline = now + request.timeout - SLACK_S
        self._route(request_entry, request, now, waited)
        if not request_entry.has_ended:
            self.deadlines.call_at(now + request.timeout + ANSWERED_WITHIN_S, self.expire_request, request_entry.number)
        return request_entry

    def _remember_rid(self, rid: str) -> None:
        """Raises InvalidRequestError for one of the latest ids; of them at least MAX_RIDS are known."""
        if rid in self.recent_rids or rid in self.older_rids:
            raise InvalidRequestError("field rid was used before")
        self.recent_rids.add(rid)
        if len(self.recent_rids) >= MAX_RIDS:
            self.older_rids, self.recent_rids = self.recent_rids, set()

    def _route(self, request_entry: DownstreamRequest, request: Request, now: float, waited: float) -> None:
        """Hands the request to the decisions; a fault of theirs ends this request alone."""
        try:
            visit = self.decisions.route(request_entry, request_entry.request_class, request, now, waited)
            if not request_entry.has_ended:  # over already, it would only close the circle that ended() opens
                request_entry.routed_request = visit
        except Exception:
            self.fault("visit")
            request_entry.end_with_internal_error()

    def expire_request(self, number: int) -> None:
        request_entry = self.slots.get(number)
        for forward in list(request_entry.open_attempts.values()) if request_entry is not None else ():
            self.attempts.expire(forward)
        if request_entry is not None and not request_entry.has_ended:
            self.log("request_overdue", rid=request_entry.rid.decode(), steps=request_entry.trace.log_steps())
            request_entry.end_with_internal_error()

    def client_left(self, request_entry: DownstreamRequest, why: str) -> None:
        """The client has left, or given the request up: nothing is owed."""
        request_entry.client = None
        if request_entry.has_ended:
            return
        request_entry.has_ended, request_entry.answer, request_entry.reason = True, "gone", why
        request_entry.trace.add(self.deadlines.now(), Step.CLIENT_LEFT, 0, why)
        if request_entry.routed_request is not None:
            request_entry.routed_request.finish()
        request_entry.recall_attempts()
        request_entry.release_if_settled()

    def reject_for_client_error(self, request_entry: DownstreamRequest) -> None:
        """Its connection ends by the client's fault: answered while that is still there."""
        if not request_entry.has_ended and request_entry.routed_request is not None:
            request_entry.routed_request.give_up(self.deadlines.now(), RejectionReason.CLIENT_ERROR)

    def give_up_open_requests(self, ending_after: float = 0.0) -> None:
        """The router ends: what is still open, and would be until after that time, is answered while somebody can hear
        it.
        """
        for request_entry in self.slots:
            if (
                not request_entry.has_ended
                and request_entry.routed_request is not None
                and request_entry.deadline > ending_after
            ):
                request_entry.routed_request.give_up(self.deadlines.now(), RejectionReason.SHUTTING_DOWN)

    def open_count(self) -> int:
        return sum(not request_entry.has_ended for request_entry in self.slots)

    def request_ended(self, request_entry: DownstreamRequest) -> None:
        if request_entry.body is not None:
            request_entry.body.release()
        visit, request_entry.routed_request = request_entry.routed_request, None
        if visit is not None:
            visit.attempts.clear()  # they name the visit: a circle that only the collector would find
        self.answer_counts[request_entry.answer] = self.answer_counts.get(request_entry.answer, 0) + 1
        self.request_log.log_end(
            self.deadlines.now(),
            request_entry.rid,
            request_entry.answer,
            request_entry.reason,
            request_entry.trace,
            request_class=request_entry.request_class.name,
            timeout_ms=round((request_entry.deadline - request_entry.started_at) * 1000),
            repeat=visit.is_retry if visit else None,
            part=visit.part if visit else None,
            work=round(visit.work * 1000) if visit else None,
            exclusive=request_entry.request_class.idempotency is Idempotency.NOT_IDEMPOTENT,
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
