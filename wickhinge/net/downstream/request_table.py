"""The open requests of clients, in numbered slots.

A DownstreamRequest is the transport through which the routing decisions of one request send attempts and answer.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

from wickhinge.interface import AttemptParameters, Idempotency, RejectionReason, Request
from wickhinge.net.runtime.buffers import Body, BufferPool
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.memory_budget import MemoryAccount
from wickhinge.net.runtime.slots import Slots
from wickhinge.net.upstream.attempts import Attempts
from wickhinge.net.upstream.request_log import SERVED_RESULT, RequestLog, RequestTrace, Step

HEX_ID = re.compile(r"[0-9a-f]{16}\Z").match
# Idempotency keys contain no character that separates fields in the protocol to the caches.
IDEMPOTENCY_KEY = re.compile(r"[0-9A-Za-z_-]{1,64}\Z").match
MIN_BUDGET_MS = 1
# Milliseconds of budget that a client may ask for, for each second of the timeout of the request class.
MAX_BUDGET_MS_PER_S = 2000
MAX_BODY_BYTES = 48_000
# Request ids in each of the two sets that detect ids used twice: at least the first number, and more up to the second
# while the older ones may still be running.
MIN_RIDS_PER_SET, MAX_RIDS_PER_SET = 2048, 8192
MAX_GROUP_NUMBER = 255
MAX_PART_NUMBER = 1 << 31
# Seconds by which the recorded deadline of a request precedes its timeout. An attempt that may last past that deadline
# gets no timer of its own, since it expires together with its request.
DEADLINE_SLACK_S = 0.001
# Estimates of the memory that an open request takes, with its attempts, without its body, and that the timers of a
# request take until its timeout, also after it has ended.
OPEN_REQUEST_BYTES = 4500
TIMERS_BYTES = 1200
# Seconds after the timeout of a request at which a missing answer counts as a fault of the routing decisions.
OVERDUE_AFTER_S = 0.01


UNKNOWN_CLASS_REASON = "method names no tariff"


class InvalidRequestError(Exception):
    """A well-formed request has an invalid method, field or body; the message names it."""


class DownstreamRequest:
    """One request of a client, from its start until its last attempt has ended.

    Attributes:
        call_id: The id of the request on its connection.
        rid: The id of the request in all logs and on the servers.
        upstream_fields: Fields of the request that are forwarded unchanged to the servers.
        started_at: Time at which the router began the request.
        has_ended: Whether the client has been answered or has left; attempts may still be open.
        answer: The kind of the answer, as the log and the report name it.
        reason: Why the request ended unserved; empty if it was served.
        routed_request: The state of the request in the routing decisions.
        open_attempts: The numbers of the open attempts, by attempt.
        number: The slot number of the request in the table.
        deadline: Time at which the request times out, less DEADLINE_SLACK_S.
        client_etag: The entity tag of the client's own copy; empty if it has none.
        missed_connection: The connection to a cache on which the last miss of this request was received.
    """

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
        unread_s: float = 0.0,
    ) -> None:
        self.request_table, self.client, self.call_id, self.request_class, self.started_at = (
            request_table,
            client,
            call_id,
            request_class,
            started_at,
        )
        self.rid = rid.encode()
        self.upstream_fields = ""
        self.client_etag = ""
        self.body, self.has_ended, self.answer, self.number, self.deadline = None, False, "", 0, 0.0
        self.routed_request: Any = None
        self.missed_connection: Any = None
        self.open_attempts: dict[Any, int] = {}
        self.trace = RequestTrace(started_at, unread_s)
        self.reason = ""

    # Methods of the RequestTransport interface, called by the routing decisions.

    def forward(self, parameters: AttemptParameters) -> None:
        """Send an attempt to a cache or origin."""
        self.routed_request = parameters.attempt.request
        self.request_table.attempts.send(self, parameters)

    def cancel(self, attempt: Any) -> None:
        """Cancel an open attempt."""
        number = self.open_attempts.get(attempt)
        if number is not None:
            self.request_table.attempts.cancel(number)

    def serve_copy(self, copy: Any) -> None:
        """Read a local copy and answer with it."""
        self.request_table.local_copies.read(self, copy)

    def reject(self, retry_after: float, reason: RejectionReason) -> None:
        """Reject the request; retry_after: seconds that the client should wait before the next try, 0 for none."""
        fields = {"backoff": str(int(retry_after * 1000))} if retry_after > 0 else {}
        self.end("denied", reason.value, lambda client: client.send_error(self.call_id, "Overloaded", fields))

    def fail(self, reason: RejectionReason) -> None:
        """Answer that the outcome of the request is unknown, since an attempt may have taken effect."""
        self.end("abandoned", reason.value, lambda client: client.send_error(self.call_id, "Abandoned", {}))

    # Called by attempts, local copies and the table.

    def serve(self, body: Any, is_unchanged: bool) -> None:
        """Answer with a body, or, if is_unchanged, with the note that the client's own copy is still valid."""
        if self.has_ended:
            if body is not None:
                body.release()
            return
        fields = {"keep": "1"} if is_unchanged else {}
        self.end(SERVED_RESULT, "", lambda client: client.send_answer(self.call_id, body, fields))

    def end_with_internal_error(self) -> None:
        """End the request after a fault of the router; the answer leaves open whether it was executed."""
        if not self.has_ended:
            self.end("broken", "a fault of ours", lambda client: client.send_error(self.call_id, "Internal", {}))
        if self.routed_request is not None:
            self.routed_request.is_finished = True
        for number in list(self.open_attempts.values()):
            self.request_table.attempts.cancel(number)

    def end(self, answer: str, reason: str, send: Callable[[Any], None]) -> None:
        """Answer the client, once, and withdraw the attempts that are not sent yet.

        Args:
            answer: The kind of the answer, as the log names it.
            reason: Why the request was not served; empty if it was.
            send: Called with the connection of the client to write the answer.
        """
        if self.has_ended:
            return
        self.has_ended, self.answer, self.reason = True, answer, reason
        client, self.client = self.client, None
        if client is not None:
            send(client)
        self.recall_attempts()
        self.release_if_settled()

    def check_ended(self) -> bool:
        """Return whether the request has ended, after reading a cancellation or close that may be in the socket.

        A request whose client sends faster than its data can be read is given up: its cancellation may be unread.
        """
        client = self.client
        if client is not None and not client.is_request_open(self.call_id):
            self.request_table.client_left(self, "found gone before an attempt")
        elif client is not None and not client.is_socket_drained:
            self.request_table.reject_for_client_error(self)
        return self.has_ended

    def recall_attempts(self) -> None:
        """Stop attempts that are not completely written from being sent, even if cancellation is disabled."""
        for number in list(self.open_attempts.values()):
            self.request_table.attempts.recall(number, True)

    def is_valid_answer(self, response_fields: bytes, body: Any) -> bool:
        """Return whether a response answers the request: a copy of an object has an entity tag and a creation time."""
        return body is not None and (
            self.request_class.pass_through or b"etag=" in response_fields and b"made=" in response_fields
        )

    def attempt_ended(self, attempt: Any) -> None:
        """Forget an attempt; called when it has ended."""
        self.open_attempts.pop(attempt, None)
        self.release_if_settled()

    def release_if_settled(self) -> None:
        """Free the slot once the request has ended and none of its attempts is open."""
        if self.has_ended and not self.open_attempts and self.request_table.slots.drop(self.number) is self:
            self.request_table.request_ended(self)


class RequestTable:
    """All open requests: starts them and ends them, also when their client leaves or the router shuts down."""

    def __init__(
        self,
        attempts: Attempts,
        deadlines: Deadlines,
        buffer_pool: BufferPool,
        request_classes: dict[str, Any],
        log: Callable[..., None],
        report_fault: Callable[[str], None],
        memory: MemoryAccount,
    ) -> None:
        """Start with no requests.

        Args:
            attempts: Sends the attempts of all requests.
            deadlines: The timers and the clock.
            buffer_pool: The buffers for request bodies.
            request_classes: The request classes by name.
            log: Writes a log line.
            report_fault: Called with a name while an exception is being handled.
            memory: Where the open requests are counted as memory that is held.
        """
        self._memory = memory
        self.attempts, self.deadlines, self.buffer_pool, self.request_classes = (
            attempts,
            deadlines,
            buffer_pool,
            request_classes,
        )
        self.log, self.report_fault = log, report_fault
        self.request_log = RequestLog(log)
        self.slots = Slots()
        self.decisions, self.local_copies = attempts.decisions, attempts.local_copies
        # The latest request ids, as numbers, in two sets that replace each other. A client uses a new id for each
        # request, also when it repeats one.
        self.recent_rids: set[int] = set()
        self.older_rids: set[int] = set()
        self._rids_replaced_at = deadlines.now()
        self._longest_budget_s = max(
            (request_class.timeout for request_class in request_classes.values()), default=0.0
        ) * (MAX_BUDGET_MS_PER_S / 1000)
        self.started_count = 0
        self.answer_counts: dict[str, int] = {}

    def is_known_class(self, method: str) -> bool:
        """Return whether a method names a request class."""
        return method in self.request_classes

    def start_request(
        self, client: Any, call_id: int, method: str, fields: dict[str, str], body: bytes, arrival: float
    ) -> DownstreamRequest:
        """Check a request, route it and return it.

        Args:
            client: The connection that the request arrived on.
            call_id: The id of the request on that connection.
            method: The name of the request class.
            fields: The fields of the request.
            body: The body of the request.
            arrival: Earliest time at which its last byte may have arrived; its timeout counts from then.

        Raises:
            InvalidRequestError: The method, a field or the body is invalid.
        """
        now = self.deadlines.now()
        waited_s = max(now - arrival, 0.0)
        request_class = self.request_classes.get(method)
        if request_class is None:
            raise InvalidRequestError(UNKNOWN_CLASS_REASON)
        rid = hex_field(fields, "rid")
        request = parse_request(fields, request_class, waited_s)
        check_body_and_key(fields, body)
        self._remember_rid(rid)
        downstream_request = DownstreamRequest(self, client, call_id, rid, request_class, now, waited_s)
        downstream_request.body = Body(self.buffer_pool, body) if body else None
        downstream_request.upstream_fields = forwarded_fields(method, fields)
        if not request_class.pass_through and HEX_ID(fields.get("cached", "")):
            downstream_request.client_etag = fields["cached"]
        downstream_request.number = self.slots.put(downstream_request)
        self.started_count += 1
        self._memory.add(OPEN_REQUEST_BYTES)
        downstream_request.deadline = now + request.timeout - DEADLINE_SLACK_S
        self._route(downstream_request, request, now, waited_s)
        if not downstream_request.has_ended:
            self._memory.add(TIMERS_BYTES)
            self.deadlines.call_at(
                now + request.timeout + OVERDUE_AFTER_S, self.expire_request, downstream_request.number
            )
        return downstream_request

    def _remember_rid(self, rid: str) -> None:
        """Record a request id.

        At least the latest MIN_RIDS_PER_SET ids are known, and of MAX_RIDS_PER_SET those whose requests may still run.

        Raises:
            InvalidRequestError: The id was used before.
        """
        number = int(rid, 16)
        if number in self.recent_rids or number in self.older_rids:
            raise InvalidRequestError("field rid was used before")
        self.recent_rids.add(number)
        if len(self.recent_rids) < MIN_RIDS_PER_SET:
            return
        now = self.deadlines.now()
        is_old_enough = now - self._rids_replaced_at >= self._longest_budget_s
        if is_old_enough or len(self.recent_rids) >= MAX_RIDS_PER_SET:
            self.older_rids, self.recent_rids, self._rids_replaced_at = self.recent_rids, set(), now

    def _route(self, downstream_request: DownstreamRequest, request: Request, now: float, waited_s: float) -> None:
        """Route the request; an exception of the routing decisions ends this request and no other."""
        try:
            routed_request = self.decisions.route(
                downstream_request, downstream_request.request_class, request, now, waited_s
            )
            if not downstream_request.has_ended:
                # An ended request must not refer to its routed request: request_ended() has broken that reference
                # cycle.
                downstream_request.routed_request = routed_request
        except Exception:
            self.report_fault("visit")
            downstream_request.end_with_internal_error()

    def expire_request(self, number: int) -> None:
        """Expire the open attempts of a request at its timeout, and end it if it has not been answered by then."""
        self._memory.add(-TIMERS_BYTES)
        downstream_request = self.slots.get(number)
        for attempt_number in list(downstream_request.open_attempts.values()) if downstream_request is not None else ():
            self.attempts.expire(attempt_number)
        if downstream_request is not None and not downstream_request.has_ended:
            self.log("request_overdue", rid=downstream_request.rid.decode(), steps=downstream_request.trace.log_steps())
            downstream_request.end_with_internal_error()

    def client_left(self, downstream_request: DownstreamRequest, reason: str) -> None:
        """End a request without an answer; called when its client has disconnected or cancelled it."""
        downstream_request.client = None
        if downstream_request.has_ended:
            return
        downstream_request.has_ended, downstream_request.answer, downstream_request.reason = True, "gone", reason
        downstream_request.trace.add(self.deadlines.now(), Step.CLIENT_LEFT, 0, reason)
        if downstream_request.routed_request is not None:
            downstream_request.routed_request.finish()
        downstream_request.recall_attempts()
        downstream_request.release_if_settled()

    def reject_for_client_error(self, downstream_request: DownstreamRequest) -> None:
        """Reject a request whose client violated the protocol; called before its connection is closed."""
        if not downstream_request.has_ended and downstream_request.routed_request is not None:
            downstream_request.routed_request.give_up(self.deadlines.now(), RejectionReason.CLIENT_ERROR)

    def give_up_open_requests(self, ending_after: float = 0.0) -> None:
        """Answer open requests before the router shuts down, while their clients are still connected.

        Args:
            ending_after: Only requests whose deadline is later than this time are given up.
        """
        for downstream_request in self.slots:
            if (
                not downstream_request.has_ended
                and downstream_request.routed_request is not None
                and downstream_request.deadline > ending_after
            ):
                downstream_request.routed_request.give_up(self.deadlines.now(), RejectionReason.SHUTTING_DOWN)

    def open_count(self) -> int:
        """Return how many requests have not ended."""
        return sum(not downstream_request.has_ended for downstream_request in self.slots)

    def request_ended(self, downstream_request: DownstreamRequest) -> None:
        """Release a request, count its answer and log it; called when none of its attempts is open."""
        self._memory.add(-OPEN_REQUEST_BYTES)
        if downstream_request.body is not None:
            downstream_request.body.release()
        routed_request, downstream_request.routed_request = downstream_request.routed_request, None
        if routed_request is not None:
            routed_request.release()
        self.answer_counts[downstream_request.answer] = self.answer_counts.get(downstream_request.answer, 0) + 1
        self.request_log.log_end(
            self.deadlines.now(),
            downstream_request.rid,
            downstream_request.answer,
            downstream_request.reason,
            downstream_request.trace,
            request_class=downstream_request.request_class.name,
            timeout_ms=round((downstream_request.deadline - downstream_request.started_at) * 1000),
            repeat=routed_request.is_retry if routed_request else None,
            part=routed_request.part if routed_request else None,
            work=round(routed_request.work * 1000) if routed_request else None,
            exclusive=downstream_request.request_class.idempotency is Idempotency.NOT_IDEMPOTENT,
        )


def parse_request(fields: dict[str, str], request_class: Any, waited_s: float) -> Request:
    """Return the request as the routing decisions need it.

    Args:
        fields: The fields of the request.
        request_class: The class of the request.
        waited_s: Seconds of its timeout that have passed.

    Raises:
        InvalidRequestError: A field is missing or invalid.
    """
    max_budget_ms = int(MAX_BUDGET_MS_PER_S * request_class.timeout)
    timeout = integer_field(fields, "budget", MIN_BUDGET_MS, max_budget_ms) / 1000.0 - waited_s
    part = integer_field(fields, "block", 0, MAX_PART_NUMBER, 0)
    group = integer_field(fields, "family", 0, MAX_GROUP_NUMBER, 0)
    has_no_object = request_class.pass_through and "obj" not in fields
    key = 0 if has_no_object else int(hex_field(fields, "obj"), 16)
    return Request(key, part, group, 0.0, timeout, "again" in fields)


def check_body_and_key(fields: dict[str, str], body: bytes) -> None:
    """Check the size of the body and the form of the idempotency key.

    Raises:
        InvalidRequestError: One of them is invalid.
    """
    if len(body) > MAX_BODY_BYTES:
        raise InvalidRequestError(f"the body holds over {MAX_BODY_BYTES} bytes")
    if not IDEMPOTENCY_KEY(fields.get("token", "-")):
        raise InvalidRequestError("field token is no mark of up to 64 letters and digits")


def forwarded_fields(method: str, fields: dict[str, str]) -> str:
    """Return the fields that are forwarded unchanged, under their names in the protocol to the servers."""
    forwarded = f"queue={method}"
    if "token" in fields:
        # The origin recognizes a repeated request by its idempotency key; without it the request would take effect
        # twice.
        forwarded += f",uniq={fields['token']}"
    if "obj" in fields:
        forwarded += f",path={fields['obj']}"
    if "block" in fields:
        forwarded += f",blk={fields['block']}"
    return forwarded


def hex_field(fields: dict[str, str], field: str) -> str:
    """Return a field of 16 hexadecimal digits.

    Raises:
        InvalidRequestError: The field is missing or has another form.
    """
    value = fields.get(field)
    if value is None:
        raise InvalidRequestError(f"field {field} is missing")
    if not HEX_ID(value):
        raise InvalidRequestError(f"field {field} is not 16 hex digits")
    return value


def integer_field(fields: dict[str, str], field: str, minimum: int, maximum: int, default: int | None = None) -> int:
    """Return a field as an integer within bounds; a missing field has the default value, if there is one.

    Raises:
        InvalidRequestError: The field is out of bounds or not a number, or it is missing and has no default.
    """
    value = fields.get(field)
    if value is None and default is not None:
        return default
    if value is None:
        raise InvalidRequestError(f"field {field} is missing")
    if not value.isascii() or not value.isdigit() or len(value) > 12 or not minimum <= int(value) <= maximum:
        raise InvalidRequestError(f"field {field} is not a whole number from {minimum} to {maximum}")
    return int(value)
