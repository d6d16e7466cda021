"""One instance of a router on the simulator's wire.

Each message of the simulator becomes a call of the router, and each operation that the router requests becomes an
action message. The names of messages and fields are those of the simulator's protocol.
"""

from __future__ import annotations

from base64 import b64encode
from collections.abc import Callable
from typing import Any

from wickhinge import fields as checks
from wickhinge.fields import MalformedError
from wickhinge.interface import CacheStatus, Completion, Endpoint, Outcome, Request, RequestClass
from wickhinge.routing.server import Server
from wickhinge.settings import build_router
from wickhinge.wirehost import codec
from wickhinge.wirehost.outbox import Outbox
from wickhinge.wirehost.wire_request import WireRequest

# Outcomes by their code on the wire.
OUTCOME_BY_CODE = {
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
# States of a server by their code on the wire.
STATE_BY_CODE = {"U": "ready", "L": "draining", "D": "gone"}
# Kinds of endpoint lists, and whether a list of the kind names every server.
LIST_IS_COMPLETE = {"incr": False, "total": True, "warm_copy": True}
SERVER_ID_LIMIT = 1 << 32  # Ids of servers are below it.
CACHE_STATUS_BY_CODE = {status.value: status for status in CacheStatus}


class HostedRouter:
    """One instance of a router, from its start to its end, with everything that ends with it.

    It is the Environment of its own decisions, and knows what its references on the wire mean.

    Attributes:
        number: The router's number on the wire.
        outbox: Encoded actions, which are sent at the end of the batch unless the instance has ended by then.
        requests: Requests in progress, by their reference.
        timers: Calls that the simulator has been asked to trigger, by the number of their timer.
        last_timer: Number of the newest timer. Timers are numbered from 1 in each instance, so that an instance's
            actions do not depend on the instances before it.
        router: The router; None until its settings have arrived.
        request_classes: The request classes of the settings, by name.
    """

    def __init__(self, number: int, outbox: Outbox) -> None:
        self.number, self.outbox = number, outbox
        self.requests: dict[str, WireRequest] = {}
        self.timers: dict[int, Callable[[float], None]] = {}
        self.last_timer = 0
        self.router: Any = None
        self.request_classes: dict[str, RequestClass] = {}

    def add_action(self, name: str, fields: dict[str, Any]) -> None:
        """Add an action to the reply to the batch, as long as the instance runs."""
        fields["router"] = self.number
        self.outbox.append(codec.encode(name, fields))

    # Methods of Environment.

    def call_later(self, delay: float, call: Callable[[float], None]) -> None:
        """Ask the simulator for a call after a delay."""
        self.last_timer += 1
        self.timers[self.last_timer] = call
        self.add_action("WakeMe", {"delayMs": max(delay, 0.0) * 1000.0, "handle": self.last_timer})

    def check_health(self, server: Server) -> None:
        """Ask the simulator to check the health of a server."""
        self.add_action("Poll", {"cache": server.id})

    def watch_endpoints(self) -> None:
        """Subscribe to the endpoint list."""
        self.add_action("Follow", {"want": True})

    def fetch_endpoints(self) -> None:
        """Ask for the whole endpoint list."""
        self.add_action("ReadList", {})

    def close_idle(self, server: Server) -> None:
        """Close idle connections to a server."""
        self.add_action("HangUp", {"cache": server.id})

    def gossip(self, recipient: int, content: bytes) -> None:
        """Send a message to another router, or to all routers."""
        self.add_action("Say", {"to": recipient, "content": b64encode(content).decode()})

    def log_line(self, text: str) -> None:
        """Write a line to the simulator's log."""
        self.add_action("NoteDown", {"line": text})

    # Handlers of messages, named after their messages.

    def handle_power_on(self, name: str, fields: dict[str, Any], now: float) -> None:
        """Build the router from the settings in the message, and start it."""
        seed, conf = checks.integer(name, fields, "initSeed"), checks.mapping(name, fields, "conf")
        self.router, self.request_classes = build_router(conf, seed, self)
        self.router.start()

    def handle_announce(self, name: str, fields: dict[str, Any], now: float) -> None:
        """Apply an endpoint list, or handle the loss of the subscription to it."""
        kind = checks.choice(name, fields, "kind", ("lost", *LIST_IS_COMPLETE))
        if kind == "lost":
            self.router.watch_lost()
            return
        endpoints = []
        for entry in checks.mappings(name, fields, "hosts"):
            server_id = checks.integer(name, entry, "cache")
            if not 0 <= server_id < SERVER_ID_LIMIT:
                raise MalformedError(f"{name}: field cache is not below {SERVER_ID_LIMIT}")
            endpoints.append(
                Endpoint(
                    server_id,
                    checks.text(name, entry, "campus"),
                    checks.text(name, entry, "familyType"),
                    checks.integer(name, entry, "cluster", 0),
                    STATE_BY_CODE[checks.choice(name, entry, "availability", STATE_BY_CODE)],
                    checks.number(name, entry, "share", 1.0),
                    checks.seconds(name, entry, "readyAtMs", 0.0) or None,
                )
            )
        self.router.endpoints.update(endpoints, now, complete=LIST_IS_COMPLETE[kind])

    def handle_inbound(self, name: str, fields: dict[str, Any], now: float) -> None:
        """Route a new request."""
        request_class = self.request_classes.get(checks.text(name, fields, "kind"))
        if request_class is None:
            raise MalformedError(f"{name}: field kind names no class of the settings")
        wire_request = WireRequest(self, checks.text(name, fields, "ref"))
        content = fields.get("contentId")
        request = Request(
            0 if content is None else checks.hexadecimal(name, fields, "contentId"),
            checks.integer(name, fields, "chunk", 0),
            checks.integer(name, fields, "batchId", 0),
            checks.number(name, fields, "lengthKb", 0.0),
            checks.seconds(name, fields, "expiresInMs"),
            checks.boolean(name, fields, "repeat", False),
        )
        self.requests[wire_request.ref] = wire_request
        wire_request.routed = self.router.route(wire_request, request_class, request, now)

    def handle_resolved(self, name: str, fields: dict[str, Any], now: float) -> None:
        """Handle the end of an attempt."""
        attempt, outcome = self.find_attempt(name, fields), self.read_outcome(name, fields)
        duration, is_answered = checks.seconds(name, fields, "timeTakenMs"), checks.boolean(name, fields, "doneFlag")
        status = CACHE_STATUS_BY_CODE.get(checks.integer(name, fields, "detail", 0))
        load = self.read_load_report(name, fields)
        if attempt is None:
            return
        attempt.request.attempt_ended(attempt, Completion(outcome, duration, is_answered, status, load), now)
        if attempt.request.is_finished:
            attempt.request.transport.close()

    def handle_ack_first(self, name: str, fields: dict[str, Any], now: float) -> None:
        """Handle the first bytes of an attempt's answer."""
        attempt = self.find_attempt(name, fields)
        if attempt is not None:
            attempt.request.answer_began(attempt, now)

    def find_attempt(self, name: str, fields: dict[str, Any]) -> Any:
        """Return the attempt that the message refers to; None if its request has been forgotten."""
        request = self.requests.get(checks.text(name, fields, "ref"))
        number = checks.integer(name, fields, "sendNo")
        return request.attempts[number] if request is not None and 0 <= number < len(request.attempts) else None

    def read_outcome(self, name: str, fields: dict[str, Any]) -> Outcome:
        """Return the outcome that the message contains."""
        code = checks.integer(name, fields, "disposition")
        if code not in OUTCOME_BY_CODE:
            raise MalformedError(f"{name}: field disposition holds an unknown code")
        return OUTCOME_BY_CODE[code]

    def read_load_report(self, name: str, fields: dict[str, Any]) -> dict[str, float] | None:
        """Return the values of the load report that the message contains, without those that are not present."""
        if fields.get("report") is None:
            return None
        report = checks.mapping(name, fields, "report")
        return {field: checks.number(f"{name}.report", report, field) for field in report if report[field] is not None}

    def handle_gone(self, name: str, fields: dict[str, Any], now: float) -> None:
        """Handle the disconnection of a client."""
        request = self.requests.get(checks.text(name, fields, "ref"))
        if request is not None and request.routed is not None:
            request.routed.finish()
            request.close()

    def handle_check_result(self, name: str, fields: dict[str, Any], now: float) -> None:
        """Handle the result of a health check."""
        server = self.router.endpoints.servers.get(checks.integer(name, fields, "cache"))
        outcome = self.read_outcome(name, fields)
        load = self.read_load_report(name, fields)
        if server is not None:
            self.router.health_checked(server, outcome, load or {}, now)

    def handle_expired_now(self, name: str, fields: dict[str, Any], now: float) -> None:
        """Record a purge."""
        key = None if fields.get("contentId") is None else checks.hexadecimal(name, fields, "contentId")
        created = now - checks.seconds(name, fields, "howOldMs")
        self.router.purges.record_purge(key, checks.integer(name, fields, "setNo", 0), created, now)

    def handle_ring(self, name: str, fields: dict[str, Any], now: float) -> None:
        """Make the call of an expired timer."""
        call = self.timers.pop(checks.integer(name, fields, "handle"), None)
        if call is not None:
            call(now)

    def handle_from_peer(self, name: str, fields: dict[str, Any], now: float) -> None:
        """Check a message from another router. It is not used, because the routers share nothing."""
        checks.text(name, fields, "content")


# Handlers of all messages but those that start and end an instance.
MESSAGE_HANDLERS = {
    "Announce": HostedRouter.handle_announce,
    "Inbound": HostedRouter.handle_inbound,
    "Resolved": HostedRouter.handle_resolved,
    "AckFirst": HostedRouter.handle_ack_first,
    "Gone": HostedRouter.handle_gone,
    "CheckResult": HostedRouter.handle_check_result,
    "ExpiredNow": HostedRouter.handle_expired_now,
    "Ring": HostedRouter.handle_ring,
    "FromPeer": HostedRouter.handle_from_peer,
}
