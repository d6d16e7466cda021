"""Attempts and health checks in progress, in numbered slots, from the request frame to the outcome."""

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

HEALTH_CHECK_RESULTS = (AttemptResult.UP, AttemptResult.DOWN)
# When building a request frame takes longer than this, the conditions for sending it are checked again.
MAX_FRAME_BUILD_S = 0.005
# When the first byte is written later than this after the decision, the request's trace gets a step that says so.
TRACED_WRITE_DELAY_S = 0.005
# Cache statuses by the first letter of the response field `detail`.
CACHE_STATUS_BY_CODE = {b"hfojsrblnx"[place : place + 1]: status for place, status in enumerate(CacheStatus)}


class SentAttempt:
    """One attempt or health check in progress.

    A health check has no downstream request; in place of an attempt it has the callback for its result, or None.
    """

    __slots__ = (
        "downstream_request",
        "attempt",
        "server",
        "connection",
        "tag",
        "sent_at",
        "paused_s_before",
        "deadline",
        "first_byte_deadline",
        "fields",
        "offered_copy",
        "is_fill",
    )

    def __init__(self, downstream_request: Any, attempt: Any, server: Any, sent_at: float, deadline: float) -> None:
        """Create an attempt that is not on a connection yet.

        Args:
            downstream_request: The client's request; None for a health check.
            attempt: The attempt of the routing decisions.
            server: The server to which it goes.
            sent_at: The time at which it was decided.
            deadline: The time after which nobody waits for its response.
        """
        self.downstream_request, self.attempt, self.server, self.sent_at, self.deadline = (
            downstream_request,
            attempt,
            server,
            sent_at,
            deadline,
        )
        # For how long reading from servers had been paused before the attempt; see `ConnectionPools.paused_s`.
        self.paused_s_before = 0.0
        self.first_byte_deadline = inf  # After this time the first byte of the request frame must not be written.
        self.fields = ""  # The fields of the request frame, except those passed through and the budget.
        self.offered_copy: Any = None  # The etag of the client's own copy (str), or a local copy of this router.
        self.connection: Any = None
        self.tag = b""  # The request id on the wire.
        self.is_fill = False  # The server fills a miss from a source, so the attempt cannot end as a miss.


def always_up_to_date(now: float) -> bool:  # noqa: ARG001  AttemptPorts
    """Return True; the default of `AttemptPorts.is_up_to_date` for routers without an endpoint watch."""
    return True


@dataclass(frozen=True, slots=True)
class AttemptPorts:
    """The subsystems that Attempts calls; optional ones are None where they are switched off."""

    decisions: Any  # The Router of wickhinge.routing.
    others_time: RemoteClock
    # Returns whether everything that the discovery service has sent until shortly before now has been read.
    is_up_to_date: Callable[[float], bool] = always_up_to_date
    local_copies: Any = None
    membership: Any = None  # Provides the endpoint list while the discovery service is unreachable.


class Attempts:
    """All attempts and health checks in progress; the AttemptOwner of the connection pools."""

    def __init__(
        self,
        pools: ConnectionPools,
        deadlines: Deadlines,
        ports: AttemptPorts,
        probe_timeout_s: float,
        report_fault: Callable[[str], None],
    ) -> None:
        """Register as the owner of what is sent over `pools`.

        Args:
            pools: The connections to all servers.
            deadlines: The timers of the router.
            ports: The subsystems that are asked and told about attempts.
            probe_timeout_s: Seconds after which a health check without a response has failed.
            report_fault: Called with a name while an exception of the decisions is being handled.
        """
        self.pools, self.deadlines, self.probe_timeout_s = pools, deadlines, probe_timeout_s
        self.report_fault = report_fault
        self.slots = Slots()
        self.decisions, self.local_copies, self.membership = ports.decisions, ports.local_copies, ports.membership
        self.others_time, self._is_up_to_date = ports.others_time, ports.is_up_to_date
        pools.set_owner(self)

    def send(self, downstream_request: Any, parameters: AttemptParameters) -> int:
        """Send one attempt of a client's request; return its number."""
        attempt, server, source = parameters.attempt, parameters.server, parameters.source
        max_age, fields = parameters.max_age, ""
        if source is not None and source is not server:
            fields += f",src=s-{source.id:08x}"
        if parameters.retention_rank:
            fields += f",keep={parameters.retention_rank}"
        if self.membership is not None and not downstream_request.request_class.pass_through:
            max_age = self.membership.limit_copy_age(max_age)
        if max_age is not None:
            # At least 1 ms: maxage=0 would mean that there is no limit. Rounded down: rounding up would allow older
            # copies than the limit does.
            fields += f",maxage={max(int(max_age * 1000), 1)}"
        if parameters.collapse or parameters.only_if_cached or parameters.revalidate:
            flags = (
                ("coalesce", parameters.collapse),
                ("shallow", parameters.only_if_cached),
                ("freshen", parameters.revalidate),
            )
            fields += ",flags=" + "+".join(flag for flag, is_set in flags if is_set)
        if parameters.only_if_cached and downstream_request.missed_connection is not None:
            # An only-if-cached attempt may end as a miss. On the connection of the earlier miss, a duplicate of that
            # response would be taken for the response to this attempt, so this attempt must use another connection.
            downstream_request.missed_connection.block_tag(downstream_request.rid)
        now = self.deadlines.now()
        sent = SentAttempt(downstream_request, attempt, server, now, now + parameters.timeout)
        sent.paused_s_before = self.pools.paused_s(now)
        if parameters.begin_within is not None:
            sent.first_byte_deadline = now + parameters.begin_within
        sent.is_fill = source is not None and source is not server and not parameters.only_if_cached
        if downstream_request.client_etag:
            sent.offered_copy = downstream_request.client_etag
            fields += f",have={downstream_request.client_etag}"
        elif attempt.request.local_copy is not None:
            sent.offered_copy = attempt.request.local_copy
            fields += f",have={sent.offered_copy.etag.decode()}"
        sent.fields = fields
        return self.start(sent, downstream_request.rid, parameters.timeout)

    def probe(self, server: Any, on_result: Any = None) -> None:
        """Send a health check.

        Args:
            server: The server to check.
            on_result: Called with the server and whether it is healthy, in place of the decisions.
        """
        now = self.deadlines.now()
        self.start(SentAttempt(None, on_result, server, now, now + self.probe_timeout_s), b"", self.probe_timeout_s)

    def start(self, sent: SentAttempt, tag: bytes, timeout_s: float) -> int:
        """Give the attempt a number and a connection; return the number. An empty tag makes a health check's tag."""
        number = self.slots.put(sent)
        sent.tag = tag or b"p%d" % number
        if sent.downstream_request is not None:
            sent.downstream_request.open_attempts[sent.attempt] = number
            source_id = sent.attempt.source.id if sent.attempt.source is not sent.server else 0
            sent.downstream_request.trace.add(
                sent.sent_at, Step.SENT, sent.server.id, (round(timeout_s * 1000), source_id)
            )
            if sent.downstream_request.check_ended():
                self.deadlines.call_soon(self.attempt_ended, number, AttemptResult.RECALLED)
                return number
        pool = self.pools.pools_by_id.get(sent.server.id)  # None where the server was removed after the decision.
        if pool is not None:
            health_check = resp.pack(b"STAT", sent.tag) if sent.downstream_request is None else None
            sent.connection = pool.send(sent.tag, number, health_check)
        if sent.connection is None:
            self.deadlines.call_soon(self.attempt_ended, number, AttemptResult.NO_DESCRIPTOR)
        elif sent.downstream_request is None or sent.sent_at + timeout_s < sent.downstream_request.deadline:
            self.deadlines.call_at(sent.sent_at + timeout_s, self.expire, number)
        # An attempt that may last as long as its request sets no timer: the request's timer ends its attempts too.
        # That saves one timer for nearly every attempt.
        return number

    def expire(self, number: int) -> None:
        """End an attempt whose time is over without a response."""
        self.cancel_on_connection(number)
        self.attempt_ended(number, AttemptResult.RESPONSE_TIMED_OUT)

    def cancel(self, number: int) -> None:
        """Cancel an attempt now; report its end to the decisions on the next turn, since they are calling this."""
        self.cancel_on_connection(number)
        self.deadlines.call_soon(self.attempt_ended, number, AttemptResult.CANCELLED)

    def recall(self, number: int, even_if_partly_written: bool = False) -> None:
        """Withdraw an attempt whose request frame still waits to be written.

        Args:
            number: The attempt.
            even_if_partly_written: Also withdraw it where the first bytes of its frame were written. Writing the rest
                would complete a request to the server after the client's request is over.
        """
        sent = self.slots.get(number)
        if sent is None or sent.connection is None or sent.tag not in sent.connection.unwritten_tags:
            return
        if even_if_partly_written or sent.connection.is_unwritten(sent.tag):
            sent.connection.cancel(sent.tag, sent.sent_at)
            self.deadlines.call_soon(self.attempt_ended, number, AttemptResult.RECALLED)

    def recall_unwritten(self, may_be_sent: Callable[[SentAttempt], bool]) -> None:
        """Recall the attempts that `may_be_sent` rejects and of which no byte has been written.

        Called when an endpoint list, a purge or an age limit takes effect. An attempt counts as sent at its first byte,
        which may be written long after the time that servers allow for the change: the connection may come up late, or
        its socket may take more bytes only later.
        """
        for pool in self.pools.pools_by_id.values():
            for number in [
                connection.pending[tag]
                for connection in pool.connections
                for tag in connection.unwritten_tags
                if tag in connection.pending
            ]:
                sent = self.slots.get(number)
                if sent is not None and sent.downstream_request is not None and not may_be_sent(sent):
                    sent.downstream_request.trace.add(
                        self.deadlines.now(),
                        Step.TAKEN_BACK,
                        sent.server.id,
                        "a newer endpoint list, purge or age limit forbids it",
                    )
                    self.recall(number)

    def build_frame(self, number: int) -> bytes | None:
        """Return the request frame of an attempt that is about to be written; None where it must not be sent any more.

        The process may have been stopped since the decision, and the connection may have come up late. So whether the
        client still waits, the deadlines and the endpoint list are checked here, and again where this took long.
        """
        sent = self.slots.get(number)
        if sent is None or sent.downstream_request is None:
            return None
        while True:
            now = self.deadlines.now()
            if sent.downstream_request.check_ended():
                # The attempt ends here also where the settings do not allow cancellation.
                self.deadlines.call_soon(self.attempt_ended, number, AttemptResult.RECALLED)
                return None
            if now >= sent.deadline:
                self.recall_unsendable(number, "the deadline passed before it was written")
                return None
            if now >= sent.first_byte_deadline:
                self.recall_unsendable(number, "the deduplication window of its idempotency key may be over")
                return None
            if not self._is_up_to_date(now):
                self.recall_unsendable(number, "the endpoint list behind the decision may be out of date")
                return None
            data = self.encode_request(sent, now)
            if self.deadlines.now() - now <= MAX_FRAME_BUILD_S:
                break
        if now - sent.sent_at > TRACED_WRITE_DELAY_S:
            sent.downstream_request.trace.add(now, Step.WRITTEN_LATER, sent.server.id)
        return data

    def encode_request(self, sent: SentAttempt, now: float) -> bytes:
        """Return the request frame with the budget that is left at `now`."""
        request = sent.downstream_request
        budget_ms = max(int((sent.deadline - now) * 1000), 1)
        body = b"".join(request.body.views()) if request.body is not None else b""
        return resp.pack(
            b"REQ", request.rid, f"{request.upstream_fields},budget={budget_ms}{sent.fields}".encode(), body
        )

    def recall_unsendable(self, number: int, reason: str) -> None:
        """Recall an attempt of which nothing was written; the decisions decide anew on the next turn."""
        sent = self.slots.get(number)
        sent.downstream_request.trace.add(self.deadlines.now(), Step.TAKEN_BACK, sent.server.id, reason)
        if sent.connection is not None:
            sent.connection.cancel(sent.tag, sent.sent_at)
        self.deadlines.call_soon(self.attempt_ended, number, AttemptResult.RECALLED)

    def cancel_on_connection(self, number: int) -> None:
        """Remove an attempt from its connection, and tell the server where it already has the request."""
        sent = self.slots.get(number)
        if sent is not None and sent.connection is not None:
            sent.connection.cancel(sent.tag, sent.sent_at)

    def response_received(self, number: int, status: bytes, fields: bytes, body: Any) -> bool | None:
        """Take a response to an attempt.

        Returns:
            True for a response that fits the attempt. False for one that does not: then nothing on the connection can
            be trusted. None for a duplicate of an earlier miss: the fill after a miss has the same request id, so this
            is not the fill's response, and the attempt stays pending.
        """
        result, sent = RESULTS_BY_STATUS.get(status, AttemptResult.UNREADABLE), self.slots.get(number)
        if result is AttemptResult.MISS and sent is not None and sent.is_fill:
            if body is not None:
                body.release()
            return None
        if sent is not None and (
            (result in HEALTH_CHECK_RESULTS) != (sent.downstream_request is None)
            or result is AttemptResult.NOT_MODIFIED
            and (sent.offered_copy is None or b"made=" not in fields)
            or result is AttemptResult.SERVED
            and sent.downstream_request is not None
            and not sent.downstream_request.is_valid_answer(fields, body)
        ):
            result = AttemptResult.UNREADABLE
        if result is AttemptResult.MISS and sent is not None and sent.downstream_request is not None:
            sent.downstream_request.missed_connection = sent.connection
        if (
            sent is not None
            and sent.connection is not None
            and result not in (AttemptResult.MISS, AttemptResult.SERVED)
        ):
            # The request may be sent to this server again, under the same id. A duplicate of this response that comes
            # some milliseconds later would end that attempt while it runs. A request that is not idempotent would then
            # be sent once more after it had run.
            sent.connection.block_tag(sent.tag)
        self.attempt_ended(number, result, b"-" if result is AttemptResult.UNREADABLE else fields, body)
        return result is not AttemptResult.UNREADABLE

    def attempt_ended(self, number: int, result: AttemptResult, fields: bytes = b"-", body: Any = None) -> None:
        """Free the attempt's slot, answer the client where this is its answer, and report the end to the decisions."""
        sent = self.slots.drop(number)
        if sent is None:
            if body is not None:
                body.release()
            return
        now, outcome = self.deadlines.now(), OUTCOMES_BY_RESULT[result]
        request = sent.downstream_request
        if request is None:
            if body is not None:
                body.release()
            load = resp.parse_load_report(resp.parse_fields(fields).get("use", ""))
            if sent.attempt is not None:
                sent.attempt(sent.server, outcome is Outcome.SUCCEEDED)
                return
            self.decisions.health_checked(sent.server, outcome, load, now)
            return
        if self.membership is not None:
            self.membership.record_attempt_outcome(sent, outcome)
        request.trace.add(now, Step.ENDED, sent.server.id, (result, fields))
        if outcome is Outcome.SUCCEEDED:
            if self.local_copies is not None and not request.has_ended:
                self.local_copies.store_response(sent.attempt.request, resp.parse_fields(fields), body)
            request.serve(body, False)
        elif body is not None:
            body.release()
        if (
            result in (AttemptResult.SERVED, AttemptResult.NOT_MODIFIED)
            and (made_ms := resp.parse_made_ms(fields)) is not None
        ):
            self.others_time.observe(made_ms / 1000.0, now)
        if result is AttemptResult.NOT_MODIFIED:
            if type(sent.offered_copy) is str:
                request.serve(None, True)
            else:
                self.local_copies.revalidated(sent.offered_copy, resp.parse_fields(fields))
        try:
            place = fields.find(b"detail=")
            cache_status = CACHE_STATUS_BY_CODE.get(fields[place + 7 : place + 8]) if place >= 0 else None
            load = resp.parse_load_report(resp.parse_fields(fields).get("use", "")) if b"use=" in fields else None
            # Time in which this router did not read says nothing about the server.
            paused_s = self.pools.paused_s(now) - sent.paused_s_before
            completion = Completion(outcome, now - sent.sent_at - paused_s, request.has_ended, cache_status, load)
            sent.attempt.request.attempt_ended(sent.attempt, completion, now)
        except Exception:
            self.report_fault("forward")
            request.end_with_internal_error()
        request.attempt_ended(sent.attempt)
