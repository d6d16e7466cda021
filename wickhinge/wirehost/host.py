"""Hosts many routers that share nothing: decoded fields go straight into calls, calls out become actions."""

from __future__ import annotations

from base64 import b64encode
from collections.abc import Callable
from typing import Any, BinaryIO

from wickhinge import fields as checks
from wickhinge.fields import MalformedError
from wickhinge.interface import AttemptParameters, CacheStatus, Completion, Endpoint, Outcome, RejectionReason, Request
from wickhinge.routing.attempt import Attempt
from wickhinge.routing.routed_request import RoutedRequest
from wickhinge.settings import build_router
from wickhinge.wirehost import codec

OUTCOMES = {
    10: Outcome.SUCCEEDED,
    20: Outcome.ERROR,
    30: Outcome.OVERLOADED,
    40: Outcome.TIMED_OUT,
    50: Outcome.CONNECT_FAILED,
    60: Outcome.CONNECTION_LOST,
    70: Outcome.CANCELLED,
    80: Outcome.SUPERSEDED,
    90: Outcome.MISS,
}
STATES = {"U": "ready", "L": "draining", "D": "gone"}
LISTS = {"incr": False, "total": True, "warm_copy": True}
CACHE_STATUSES = {status.value: status for status in CacheStatus}


class WireRequest:
    """The RequestTransport of one request: its ref on the wire, and its attempts by their number."""

    __slots__ = ("host", "ref", "attempts", "routed")

    def __init__(self, host: Instance, ref: str) -> None:
        self.host, self.ref = host, ref
        self.attempts: list[Attempt] = []
        self.routed: RoutedRequest | None = None

    def forward(self, parameters: AttemptParameters) -> None:
        """Send an attempt, straight or through a cache."""
        self.attempts.append(parameters.attempt)
        fields = {"ref": self.ref, "cache": parameters.server.id, "tryForMs": parameters.timeout * 1000.0}
        if parameters.source is None:
            self.host.act("Try", fields)
            return
        options = parameters.collapse | parameters.only_if_cached << 1 | parameters.revalidate << 3
        fields |= {"source": parameters.source.id, "admit": parameters.retention_rank, "opts": options}
        if parameters.max_age is not None:
            fields["howOldMs"] = parameters.max_age * 1000.0
        self.host.act("PullVia", fields)

    def cancel(self, attempt: Any) -> None:
        """Stop waiting for an attempt."""
        self.host.act("Abandon", {"ref": self.ref, "sendNo": self.attempts.index(attempt)})

    def reject(self, retry_after: float, reason: RejectionReason) -> None:
        """Answer that a retry is harmless."""
        self.host.act("Refuse", {"ref": self.ref, "waitMs": retry_after * 1000.0})
        self.close()

    def fail(self, reason: RejectionReason) -> None:
        """Answer without any promise."""
        self.host.act("DropRequest", {"ref": self.ref})
        self.close()

    def close(self) -> None:
        """The request is over: nothing will name it once no attempt is pending."""
        if not any(attempt.is_pending for attempt in self.attempts):
            self.host.requests.pop(self.ref, None)


class Instance:
    """One router and what the wire calls its things."""

    def __init__(self, number: int, replies: list[bytes]) -> None:
        self.number, self.replies = number, replies
        self.requests: dict[str, WireRequest] = {}
        self.timers: dict[int, Callable[[float], None]] = {}
        self.last_timer = 0
        self.router: Any = None
        self.request_classes: dict[str, Any] = {}

    def act(self, name: str, fields: dict[str, Any]) -> None:
        """Add an action to the batch's replies."""
        fields["router"] = self.number
        self.replies.append(codec.line(name, fields))

    # Environment.

    def call_later(self, delay: float, call: Callable[[float], None]) -> None:
        """Ask for a wake-up."""
        self.last_timer += 1
        self.timers[self.last_timer] = call
        self.act("WakeMe", {"delayMs": max(delay, 0.0) * 1000.0, "handle": self.last_timer})

    def check_health(self, server: Any) -> None:
        """Ask for a health check."""
        self.act("Poll", {"cache": server.id})

    def watch_endpoints(self) -> None:
        """Subscribe to the endpoint list."""
        self.act("Follow", {"want": True})

    def fetch_endpoints(self) -> None:
        """Ask for the whole endpoint list."""
        self.act("ReadList", {})

    def close_idle(self, server: Any) -> None:
        """Close idle connections to a server."""
        self.act("HangUp", {"cache": server.id})

    def gossip(self, recipient: int, content: bytes) -> None:
        """Send to other routers."""
        self.act("Say", {"to": recipient, "content": b64encode(content).decode()})

    def log_line(self, text: str) -> None:
        """Write a line to the log."""
        self.act("NoteDown", {"line": text})

    # Events.

    def power_on(self, name: str, fields: dict[str, Any], now: float) -> None:
        """The router starts with these settings."""
        seed, conf = checks.integer(name, fields, "initSeed"), checks.mapping(name, fields, "conf")
        self.router, self.request_classes = build_router(conf, seed, self)
        self.router.start()

    def announce(self, name: str, fields: dict[str, Any], now: float) -> None:
        """An endpoint list, or the loss of the subscription."""
        kind = checks.choice(name, fields, "kind", ("lost", *LISTS))
        if kind == "lost":
            self.router.watch_lost()
            return
        endpoints = []
        for entry in checks.mappings(name, fields, "hosts"):
            endpoints.append(
                Endpoint(
                    checks.integer(name, entry, "cache"),
                    checks.text(name, entry, "campus"),
                    checks.text(name, entry, "familyType"),
                    checks.integer(name, entry, "cluster", 0),
                    STATES[checks.choice(name, entry, "availability", STATES)],
                    checks.number(name, entry, "share", 1.0),
                    checks.seconds(name, entry, "readyAtMs", 0.0) or None,
                )
            )
        self.router.endpoints.update(endpoints, now, complete=LISTS[kind])

    def inbound(self, name: str, fields: dict[str, Any], now: float) -> None:
        """A request."""
        request_class = self.request_classes.get(checks.text(name, fields, "kind"))
        if request_class is None:
            raise MalformedError(f"{name}: field kind names no class of the settings", self.number)
        wire_request = self.requests[checks.text(name, fields, "ref")] = WireRequest(self, fields["ref"])
        content = fields.get("contentId")
        request = Request(
            0 if content is None else checks.hexadecimal(name, fields, "contentId"),
            checks.integer(name, fields, "chunk", 0),
            checks.integer(name, fields, "batchId", 0),
            checks.number(name, fields, "lengthKb", 0.0),
            checks.seconds(name, fields, "expiresInMs"),
            checks.boolean(name, fields, "repeat", False),
        )
        wire_request.routed = self.router.route(wire_request, request_class, request, now)

    def resolved(self, name: str, fields: dict[str, Any], now: float) -> None:
        """An attempt has ended."""
        attempt, outcome = self.attempt(name, fields), self.outcome(name, fields)
        duration, is_answered = checks.seconds(name, fields, "timeTakenMs"), checks.boolean(name, fields, "doneFlag")
        if attempt is None:
            return
        status = CACHE_STATUSES.get(checks.integer(name, fields, "detail", 0))
        load = None if fields.get("report") is None else checks.mapping(name, fields, "report")
        attempt.request.attempt_ended(attempt, Completion(outcome, duration, is_answered, status, load), now)
        if attempt.request.is_finished:
            attempt.request.transport.close()

    def ack_first(self, name: str, fields: dict[str, Any], now: float) -> None:
        """An attempt's answer has begun."""
        attempt = self.attempt(name, fields)
        if attempt is not None:
            attempt.request.answer_began(attempt, now)

    def attempt(self, name: str, fields: dict[str, Any]) -> Any:
        """Return the attempt that the message names, None where its request is long over."""
        request = self.requests.get(checks.text(name, fields, "ref"))
        number = checks.integer(name, fields, "sendNo")
        return request.attempts[number] if request is not None and 0 <= number < len(request.attempts) else None

    def outcome(self, name: str, fields: dict[str, Any]) -> Outcome:
        """Return the outcome that a message names."""
        code = checks.integer(name, fields, "disposition")
        if code not in OUTCOMES:
            raise MalformedError(f"{name}: field disposition holds an unknown code", self.number)
        return OUTCOMES[code]

    def gone(self, name: str, fields: dict[str, Any], now: float) -> None:
        """The client has gone."""
        request = self.requests.get(checks.text(name, fields, "ref"))
        if request is not None and request.routed is not None:
            request.routed.finish()
            request.close()

    def check_result(self, name: str, fields: dict[str, Any], now: float) -> None:
        """A health check has ended."""
        server = self.router.endpoints.servers.get(checks.integer(name, fields, "cache"))
        outcome = self.outcome(name, fields)
        load = {} if fields.get("report") is None else checks.mapping(name, fields, "report")
        if server is not None:
            self.router.health_checked(server, outcome, load, now)

    def expired_now(self, name: str, fields: dict[str, Any], now: float) -> None:
        """A purge."""
        key = None if fields.get("contentId") is None else checks.hexadecimal(name, fields, "contentId")
        created = now - checks.seconds(name, fields, "howOldMs")
        self.router.purges.record_purge(key, checks.integer(name, fields, "setNo", 0), created, now)

    def ring(self, name: str, fields: dict[str, Any], now: float) -> None:
        """A wake-up that was asked for."""
        call = self.timers.pop(checks.integer(name, fields, "handle"), None)
        if call is not None:
            call(now)

    def from_peer(self, name: str, fields: dict[str, Any], now: float) -> None:
        """A message of another router; routers share nothing, so it is checked alone."""
        checks.text(name, fields, "content")


EVENTS = {
    "PowerOn": Instance.power_on,
    "Announce": Instance.announce,
    "Inbound": Instance.inbound,
    "Resolved": Instance.resolved,
    "AckFirst": Instance.ack_first,
    "Gone": Instance.gone,
    "CheckResult": Instance.check_result,
    "ExpiredNow": Instance.expired_now,
    "Ring": Instance.ring,
    "FromPeer": Instance.from_peer,
}


class Host:
    """All routers of one process, by number."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.replies: list[bytes] = []

    def event(self, name: str, fields: dict[str, Any], now: float) -> None:
        """Take one message of a batch."""
        number = checks.integer(name, fields, "router")
        if name == "Kill":
            self.instances.pop(number, None)
            return
        if name == "PowerOn":
            self.instances[number] = Instance(number, self.replies)
        elif name not in EVENTS:
            raise MalformedError(f"{name}: unknown message", number)
        instance = self.instances.get(number)
        if instance is None:
            raise MalformedError(f"{name}: field router names no running instance", number)
        try:
            EVENTS[name](instance, name, fields, now)
        except MalformedError as problem:
            problem.router = number
            if instance.router is None:
                del self.instances[number]
            raise


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Read batches until the end of input; one reply for each."""
    host, now = Host(), None
    for raw in source:
        if not raw.strip():
            continue
        try:
            name, fields = codec.parse(raw)
            if name == "Batch":
                now = checks.seconds(name, fields, "timeMs")
            elif name == "Go":
                sink.write(b"".join(host.replies) + b'{"Finished":{}}\n')
                sink.flush()
                host.replies.clear()
            elif now is None:
                raise MalformedError(f"{name}: comes before any Batch")
            else:
                host.event(name, fields, now)
        except MalformedError as problem:
            if problem.router is None:
                raise
            host.replies.append(codec.line("Broken", {"router": problem.router, "line": str(problem)}))
