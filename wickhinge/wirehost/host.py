"""Hosts many routers that share nothing: decoded fields go straight into calls, calls out become actions."""

from __future__ import annotations

from base64 import b64encode
from collections.abc import Callable
from typing import Any, BinaryIO

from wickhinge import fields as checks
from wickhinge.fields import Malformed
from wickhinge.interface import AttemptParameters, CacheStatus, Completion, Endpoint, Outcome, RejectionReason, Request
from wickhinge.settings import build
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
NOTES = {note.value: note for note in CacheStatus}


class Door:
    """The caller of one visit: its ref, and its forwards by their number."""

    __slots__ = ("host", "ref", "forwards", "visit")

    def __init__(self, host: Instance, ref: str) -> None:
        self.host, self.ref = host, ref
        self.forwards: list[Any] = []
        self.visit: Any = None

    def forward(self, parameters: AttemptParameters) -> None:
        self.forwards.append(parameters.attempt)
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
        self.host.act("Abandon", {"ref": self.ref, "sendNo": self.forwards.index(attempt)})

    def reject(self, retry_after: float, reason: RejectionReason) -> None:
        self.host.act("Refuse", {"ref": self.ref, "waitMs": retry_after * 1000.0})
        self.close()

    def fail(self, reason: RejectionReason) -> None:
        self.host.act("DropRequest", {"ref": self.ref})
        self.close()

    def close(self) -> None:
        """The visit is over: nothing will name it once no forward is out."""
        if not any(forward.is_pending for forward in self.forwards):
            self.host.doors.pop(self.ref, None)


class Instance:
    """One router and what the wire calls its things."""

    def __init__(self, number: int, replies: list[bytes]) -> None:
        self.number, self.replies = number, replies
        self.doors: dict[str, Door] = {}
        self.alarms: dict[int, Callable[[float], None]] = {}
        self.alarm = 0
        self.router: Any = None
        self.request_classes: dict[str, Any] = {}

    def act(self, name: str, fields: dict[str, Any]) -> None:
        fields["router"] = self.number
        self.replies.append(codec.line(name, fields))

    # Environment.

    def call_later(self, delay: float, call: Callable[[float], None]) -> None:
        self.alarm += 1
        self.alarms[self.alarm] = call
        self.act("WakeMe", {"delayMs": max(delay, 0.0) * 1000.0, "handle": self.alarm})

    def check_health(self, server: Any) -> None:
        self.act("Poll", {"cache": server.id})

    def watch(self) -> None:
        self.act("Follow", {"want": True})

    def fetch_endpoints(self) -> None:
        self.act("ReadList", {})

    def close_idle(self, server: Any) -> None:
        self.act("HangUp", {"cache": server.id})

    def gossip(self, recipient: int, content: bytes) -> None:
        self.act("Say", {"to": recipient, "content": b64encode(content).decode()})

    def log_line(self, text: str) -> None:
        self.act("NoteDown", {"line": text})

    # Events.

    def power_on(self, name: str, fields: dict[str, Any], now: float) -> None:
        seed, conf = checks.integer(name, fields, "initSeed"), checks.record(name, fields, "conf")
        self.router, self.request_classes = build(conf, seed, self)
        self.router.start()

    def announce(self, name: str, fields: dict[str, Any], now: float) -> None:
        kind = checks.word(name, fields, "kind", ("lost", *LISTS))
        if kind == "lost":
            self.router.watch_lost()
            return
        listings = []
        for entry in checks.records(name, fields, "hosts"):
            listings.append(
                Endpoint(
                    checks.integer(name, entry, "cache"),
                    checks.text(name, entry, "campus"),
                    checks.text(name, entry, "familyType"),
                    checks.integer(name, entry, "cluster", 0),
                    STATES[checks.word(name, entry, "availability", STATES)],
                    checks.number(name, entry, "share", 1.0),
                    checks.seconds(name, entry, "readyAtMs", 0.0) or None,
                )
            )
        self.router.endpoints.update(listings, now, complete=LISTS[kind])

    def inbound(self, name: str, fields: dict[str, Any], now: float) -> None:
        request_class = self.request_classes.get(checks.text(name, fields, "kind"))
        if request_class is None:
            raise Malformed(f"{name}: field kind names no class of the settings", self.number)
        door = self.doors[checks.text(name, fields, "ref")] = Door(self, fields["ref"])
        content = fields.get("contentId")
        request = Request(
            0 if content is None else checks.hexadecimal(name, fields, "contentId"),
            checks.integer(name, fields, "chunk", 0),
            checks.integer(name, fields, "batchId", 0),
            checks.number(name, fields, "lengthKb", 0.0),
            checks.seconds(name, fields, "expiresInMs"),
            checks.flag(name, fields, "repeat", False),
        )
        door.visit = self.router.route(door, request_class, request, now)

    def resolved(self, name: str, fields: dict[str, Any], now: float) -> None:
        forward, outcome = self.sent(name, fields), self.outcome(name, fields)
        took, closed = checks.seconds(name, fields, "timeTakenMs"), checks.flag(name, fields, "doneFlag")
        if forward is None:
            return
        note = NOTES.get(checks.integer(name, fields, "detail", 0))
        load = None if fields.get("report") is None else checks.record(name, fields, "report")
        completion = Completion(outcome, took, closed, note, load)
        forward.request.attempt_ended(forward, completion, now)
        if forward.request.is_finished:
            forward.request.transport.close()

    def ack_first(self, name: str, fields: dict[str, Any], now: float) -> None:
        forward = self.sent(name, fields)
        if forward is not None:
            forward.request.answer_began(forward, now)

    def sent(self, name: str, fields: dict[str, Any]) -> Any:
        """The forward that the message names, None where its visit is long over."""
        door = self.doors.get(checks.text(name, fields, "ref"))
        number = checks.integer(name, fields, "sendNo")
        return door.forwards[number] if door is not None and 0 <= number < len(door.forwards) else None

    def outcome(self, name: str, fields: dict[str, Any]) -> Outcome:
        code = checks.integer(name, fields, "disposition")
        if code not in OUTCOMES:
            raise Malformed(f"{name}: field disposition holds an unknown code", self.number)
        return OUTCOMES[code]

    def gone(self, name: str, fields: dict[str, Any], now: float) -> None:
        door = self.doors.get(checks.text(name, fields, "ref"))
        if door is not None and door.visit is not None:
            door.visit.finish()
            door.close()

    def check_result(self, name: str, fields: dict[str, Any], now: float) -> None:
        cache = self.router.endpoints.servers.get(checks.integer(name, fields, "cache"))
        outcome = self.outcome(name, fields)
        load = {} if fields.get("report") is None else checks.record(name, fields, "report")
        if cache is not None:
            self.router.health_checked(cache, outcome, load, now)

    def expired_now(self, name: str, fields: dict[str, Any], now: float) -> None:
        key = None if fields.get("contentId") is None else checks.hexadecimal(name, fields, "contentId")
        made = now - checks.seconds(name, fields, "howOldMs")
        self.router.purges.notify(key, checks.integer(name, fields, "setNo", 0), made, now)

    def ring(self, name: str, fields: dict[str, Any], now: float) -> None:
        call = self.alarms.pop(checks.integer(name, fields, "handle"), None)
        if call is not None:
            call(now)

    def from_peer(self, name: str, fields: dict[str, Any], now: float) -> None:
        checks.text(name, fields, "content")  # routers share nothing


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
    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.replies: list[bytes] = []

    def event(self, name: str, fields: dict[str, Any], now: float) -> None:
        number = checks.integer(name, fields, "router")
        if name == "Kill":
            self.instances.pop(number, None)
            return
        if name == "PowerOn":
            self.instances[number] = Instance(number, self.replies)
        elif name not in EVENTS:
            raise Malformed(f"{name}: unknown message", number)
        instance = self.instances.get(number)
        if instance is None:
            raise Malformed(f"{name}: field router names no running instance", number)
        try:
            EVENTS[name](instance, name, fields, now)
        except Malformed as problem:
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
                raise Malformed(f"{name}: comes before any Batch")
            else:
                host.event(name, fields, now)
        except Malformed as problem:
            if problem.router is None:
                raise
            host.replies.append(codec.line("Broken", {"router": problem.router, "line": str(problem)}))
