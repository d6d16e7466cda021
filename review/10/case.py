"""A router on the simulator's wire is killed and started again in a batch that also brings it a request."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import json
import random
import sys
import tomllib
import uuid
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins_2 import ROOT, CaseError, Record, run_case  # noqa: E402 - the folder above is not a package

QUANTUM_MS = 2.0  # WIRE, `quantumMs`: minimum interval between batches.
GRACE_MS = 8.0  # WIRE, `rules.graceToAnswerMs`.
REPLY_S = 20.0  # WIRE: real time that a reply may take.
DAY_MS = 20_000.0
RESTART_EVERY_MS = 2_000.0
REQUESTS_PER_S = 80.0
DEADLINE_MS = 3_000.0
SERVICE_MS = 20.0
OK = 10  # WIRE, outcome: served.
EXPIRED = 40  # WIRE, outcome: no answer within the time limit.
CACHES = {0x3111AB13: "small-box", 0x2C90B01B: "small-box", 0x1F4D2207: "small-box", 0x0A77E951: "origin"}
SETTINGS: dict[str, Any] = {
    "accounts": [],
    "balancers": 1,
    "classes": [
        {
            "name": "pages",
            "effect": "pure",
            "group": "all",
            "windowMs": 5000.0,
            "hardLimitMs": DEADLINE_MS,
            "onTimeMs": 300.0,
            "aimStretch": 2.0,
            "importance": 1.0,
            "lateValue": 0.2,
            "stream": False,
        },
    ],
    "clients": {"marksRetry": True},
    "discovery": "push",
    "domainType": "edge",
    "familyInfo": {
        "attachedTo": [0, 0],
        "feedKbPerS": [0.0, 0.0],
        "goneEverywhereMs": 6000.0,
        "heedWithinMs": 500.0,
        "joins": False,
        "maxAgeMs": [0.0],
        "multiPart": [False],
        "notesGiven": "off",
        "oneFlowKbPerS": 3400.0,
        "originBearsMs": 3000.0,
        "originFallMultiple": 0.0,
        "parentFloor": 0.066,
        "parentWarmsInMs": 21000.0,
        "passOn": [False],
        "passThroughOk": False,
        "priceOfLink": 0.06,
        "shieldKind": -1,
        "siblings": "off",
        "sourceKind": 1,
        "staleForMs": [0.0],
        "upperFallMultiple": 2.0,
        "worthWhenOld": [0.7],
        "zoneBalancers": [0, 1],
    },
    "limits": {
        "cancel": True,
        "connIdleMs": 30000.0,
        "connectTimeoutMs": 400.0,
        "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 500000,
        "maxRetryAfterMs": 500.0,
        "maxStreams": 100,
        "mayDuplicate": True,
        "mostTries": 6,
        "openCap": 20000,
        "peers": False,
        "probes": True,
        "retryAfter": True,
    },
    "locality": "edge-1",
    "me": 0,
    "overShareWorth": 0.1,
    "prices": {},
    "quantumMs": QUANTUM_MS,
    "rules": {
        "coldFrom": 0.16,
        "coldMs": 16000.0,
        "drainGraceMs": 1000.0,
        "fallMs": 1500.0,
        "fallMultiple": 4.0,
        "graceToAnswerMs": GRACE_MS,
        "mustAskInMs": 10000.0,
    },
    "scoreParts": {"whole": 1.0, "worstClass": 0.0, "worstTenant": 0.0, "worstWindow": 0.0},
    "shapes": ["small-box", "origin"],
    "stages": ["branch-cache"],
    "stats": {"fields": ["outstanding", "utilization"], "how": "on_probe"},
    "tier": 0,
    "weights": "nominal",
    "worthBy": "request",
    "zones": ["hub", "edge-1"],
}

Message = tuple[str, dict[str, Any]]


@dataclass
class Request:
    """A request that was conveyed to the life of the router that runs now."""

    deadline_ms: float
    attempts: int = 0
    has_ended: bool = False


@dataclass
class Life:
    """One life of the router, from a `PowerOn` to the next `Kill`; what it holds is void after that."""

    number: int
    requests: dict[str, Request] = field(default_factory=dict)


class Simulator:
    """A stand-in of the simulator with one router; it runs as fast as the replies come."""

    def __init__(self, record: Record, child: asyncio.subprocess.Process) -> None:
        if child.stdin is None or child.stdout is None:
            raise CaseError("the program has no pipes")
        self.record, self.stdin, self.stdout = record, child.stdin, child.stdout
        self.random = random.Random(10)
        self.now_ms = 1000.0
        self.life = Life(0)
        self.breaks: list[str] = []
        self.answered = 0
        self._order = itertools.count()
        self._due: list[tuple[float, int, Life | None, Message]] = []

    def schedule(self, at_ms: float, life: Life | None, message: Message) -> None:
        """Let an event happen at a time; None as life stands for whichever runs then."""
        heapq.heappush(self._due, (at_ms, next(self._order), life, message))

    async def play(self, with_trouble: bool) -> None:
        """Play the day."""
        self.schedule(self.now_ms, None, ("start", {}))
        first_ms = at_ms = self.now_ms + 100.0
        while at_ms < first_ms + DAY_MS:
            self.schedule(at_ms, None, ("request", {}))
            at_ms += self.random.expovariate(REQUESTS_PER_S / 1000.0)
        for restart_ms in itertools.takewhile(
            lambda each: each < first_ms + DAY_MS, itertools.count(first_ms + RESTART_EVERY_MS, RESTART_EVERY_MS)
        ):
            self.schedule(restart_ms, None, ("request", {}))
            if with_trouble:
                self.schedule(restart_ms + 0.5, None, ("restart", {}))
        end_ms = first_ms + DAY_MS + DEADLINE_MS + 100.0  # Until all requests have ended.
        while self._due and self.now_ms < end_ms:
            self.now_ms = max(self._due[0][0], self.now_ms) + QUANTUM_MS
            events: list[Message] = []
            while self._due and self._due[0][0] <= self.now_ms:
                _, _, life, message = heapq.heappop(self._due)
                if life is None or life is self.life:
                    events += self.convey(*message)
            if events:
                await self.send(events)
            self.check_answers()

    def convey(self, name: str, fields: dict[str, Any]) -> list[Message]:
        """Return the messages that tell the router of an event."""
        if name == "request":
            ref = str(uuid.UUID(int=self.random.getrandbits(128)))
            self.life.requests[ref] = Request(self.now_ms + DEADLINE_MS)
            self.schedule(self.now_ms + DEADLINE_MS + GRACE_MS + 2 * QUANTUM_MS, self.life, ("nothing", {}))
            key = f"{0x7000 + self.random.randrange(40):016x}"
            return [
                (
                    "Inbound",
                    {"ref": ref, "batchId": 1, "kind": "pages", "contentId": key, "tenant": None, "update": False}
                    | {"expiresInMs": DEADLINE_MS, "repeat": False, "chunk": 0, "lengthKb": 20},
                )
            ]
        if name in ("start", "restart"):
            self.life = Life(self.life.number + 1)
            hosts = [
                {"cache": cache, "campus": ("edge-1", "hub")[kind == "origin"], "familyType": kind, "cluster": 0}
                | {"availability": "U", "share": 4, "readyAtMs": None}
                for cache, kind in CACHES.items()
            ]
            kill: list[Message] = [("Kill", {})] if name == "restart" else []
            return [
                *kill,
                ("PowerOn", {"initSeed": self.random.getrandbits(40), "conf": SETTINGS}),
                ("Announce", {"kind": "warm_copy", "serial": 1, "hosts": hosts}),
            ]
        if name == "Resolved":
            request = self.life.requests[fields["ref"]]
            if fields["disposition"] == OK and not request.has_ended:
                request.has_ended = True
                self.answered += 1
            return [(name, fields | {"doneFlag": request.has_ended})]
        return [] if name == "nothing" else [(name, fields)]

    async def send(self, events: list[Message]) -> None:
        """Convey a batch and carry out the reply."""
        lines: list[Message] = [("Batch", {"timeMs": self.now_ms})]
        lines += [(name, {"router": 0, **fields}) for name, fields in events]
        for name, fields in events:
            shown = "" if name == "PowerOn" else json.dumps(fields)[:160]
            self.record.add(f"sent at {self.now_ms:.1f} ms: {name} {shown}")
        text = "\n".join(json.dumps({name: fields}) for name, fields in [*lines, ("Go", {})])
        self.stdin.write(f"{text}\n".encode())
        await self.stdin.drain()
        while True:
            line = await asyncio.wait_for(self.stdout.readline(), REPLY_S)
            if not line:
                raise CaseError("the program ended")
            ((name, fields),) = json.loads(line).items()
            if name == "Finished":
                return
            self.record.add(f"answered at {self.now_ms:.1f} ms: {name} {json.dumps(fields)[:160]}")
            self.act(name, fields)

    def act(self, name: str, fields: dict[str, Any]) -> None:
        """Carry out an action at the time of the batch, for the life that runs now."""
        if name == "WakeMe":
            self.schedule(self.now_ms + fields["delayMs"], self.life, ("Ring", {"handle": fields["handle"]}))
        elif name in ("Try", "PullVia"):
            self.attempt(name, fields)
        elif name in ("Refuse", "DropRequest"):
            request = self.life.requests.get(fields["ref"])
            if request is not None:  # Else it concerns something already concluded, and is ignored.
                request.has_ended = True
        elif name == "Poll":
            self.schedule(self.now_ms + 2.0, self.life, ("CheckResult", self.outcome(fields["cache"], OK, 2.0)))
        elif name == "Broken":
            raise CaseError(f"the program reports {fields}")

    def attempt(self, name: str, fields: dict[str, Any]) -> None:
        """Run an attempt at a cache."""
        ref, cache = fields["ref"], fields["cache"]
        request = self.life.requests.get(ref)
        if request is None:
            self.breaks.append(
                f"{name} for {ref} to cache {cache} at {self.now_ms:.1f} ms: the request was conveyed to the router "
                f"before it was killed, and not since its start in the same batch"
            )
            return
        left_ms = request.deadline_ms - self.now_ms
        code, took_ms = (OK, SERVICE_MS) if left_ms > SERVICE_MS else (EXPIRED, max(left_ms, 0.0))
        self.record.add(f"run: {name} for {ref} at cache {cache}, life {self.life.number}")
        message = {"ref": ref, "sendNo": request.attempts, "detail": 0, "waitedMs": 0.0}
        self.schedule(
            self.now_ms + took_ms, self.life, ("Resolved", message | self.outcome(cache, code, took_ms, report=None))
        )
        request.attempts += 1

    @staticmethod
    def outcome(cache: int, code: int, took_ms: float, **more: Any) -> dict[str, Any]:
        """Return the fields that tell how an attempt or a check ended."""
        report = {"outstanding": 1.0, "utilization": 0.1}
        return {"cache": cache, "disposition": code, "timeTakenMs": took_ms, "report": report, **more}

    def check_answers(self) -> None:
        """Note requests of the life that runs now that had no final answer in time."""
        for ref, request in self.life.requests.items():
            if not request.has_ended and self.now_ms > request.deadline_ms + GRACE_MS + QUANTUM_MS:
                request.has_ended = True
                self.breaks.append(f"request {ref} had no final answer at its deadline")


async def case(record: Record, with_trouble: bool) -> list[str]:
    """Run the case and end its program."""
    with (ROOT / "deploy/balancer.toml").open("rb") as file:
        command = tomllib.load(file)["sim"]
    child = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", command, cwd=ROOT, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE
    )
    try:
        simulator = Simulator(record, child)
        await simulator.play(with_trouble)
    finally:
        if child.returncode is None:
            child.kill()
            await child.wait()
    if simulator.answered < 1000:
        raise CaseError(f"only {simulator.answered} requests were served")
    record.add(f"{simulator.answered} requests were served by {simulator.life.number} lives of the router")
    return simulator.breaks


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
