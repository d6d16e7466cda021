"""A toy deployment for one router: two caches, a parent, an origin and a journal service.

    python example/toy.py [PORT [hidden]]   the journal service on PORT (7070), the machines on the ports after it;
                                            hidden: the machines alone, as if the service were away

Machines keep what passes with a rank and forget it on a purge. Whoever types a line here changes the world:
`drain N`, `silent N`, `kill N` (its connections), `purge OBJECT`, `drop` (the journal's connections) or
`quit`, N being a machine's place from 1.
"""

from __future__ import annotations

import sys
import time
from struct import pack, unpack

from twisted.internet import protocol, reactor, stdio, task
from twisted.protocols.basic import LineReceiver

HOST = "127.0.0.1"
KINDS = ("box", "box", "parent", "origin")
SHAPES = ("box", "parent", "origin")  # as the example's settings name them
SIZE = 20_000


def ids(place: int) -> int:
    return 0xA0 + place


class World:
    """What all parties share: the machines' memories and the journal's frames."""

    def __init__(self, base: int) -> None:
        self.base = base
        self.kept = {f"s-{ids(n):08x}": {} for n in range(1, len(KINDS) + 1)}
        self.frames: list[bytes] = []
        self.readers: set[Feed] = set()
        self.silent: set[int] = set()
        self.lines: dict[int, set[Machine]] = {n: set() for n in range(1, len(KINDS) + 1)}
        self.tell(1, b"".join(self.record(n, 0) for n in range(1, len(KINDS) + 1)))

    def record(self, place: int, state: int) -> bytes:
        kind = SHAPES.index(KINDS[place - 1])
        zone = min(kind, 1)
        return pack(">I4sHBBBHIQ", ids(place), bytes([127, 0, 0, 1]), self.base + place, state, zone, kind, 0, 4000, 0)

    def tell(self, kind: int, payload: bytes) -> None:
        self.frames.append(pack(">IQB", 9 + len(payload), len(self.frames) + 1, kind) + payload)
        for reader in self.readers:
            reader.transport.write(self.frames[-1])

    def command(self, line: str) -> None:
        match line.split():
            case ["drain", place]:
                self.tell(2, self.record(int(place), 1))
            case ["purge", key]:
                for kept in self.kept.values():
                    for name in [name for name in kept if name[0] == key]:
                        del kept[name]
                self.tell(3, pack(">QQ", int(key, 16), int(time.time() * 1000)))
            case ["silent", place]:
                self.silent.add(int(place))
            case ["kill", place]:
                for line in list(self.lines[int(place)]):
                    line.transport.abortConnection()
            case ["drop"]:
                for reader in list(self.readers):
                    reader.transport.abortConnection()
            case ["quit"]:
                reactor.stop()


class Feed(protocol.Protocol):
    """The journal service's side of one router."""

    def __init__(self, world: World) -> None:
        self.world, self.data = world, b""

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        if len(self.data) >= 8 and self not in self.world.readers:
            (last,) = unpack(">Q", self.data[:8])
            self.transport.write(b"".join(self.world.frames[last:]))
            self.world.readers.add(self)
            self.beat = task.LoopingCall(lambda: self.transport.write(pack(">IQB", 9, len(self.world.frames), 0)))
            self.beat.start(1.0)

    def connectionLost(self, reason: object = None) -> None:
        if self in self.world.readers:
            self.world.readers.remove(self)
            self.beat.stop()


class Machine(protocol.Protocol):
    """One cache, parent or origin, by its place."""

    def __init__(self, world: World, place: int) -> None:
        self.world, self.place, self.data = world, place, b""
        self.name = f"s-{ids(place):08x}"

    def connectionMade(self) -> None:
        self.world.lines[self.place].add(self)

    def connectionLost(self, reason: object = None) -> None:
        self.world.lines[self.place].discard(self)

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        while (items := self.take()) is not None:
            self.serve(*items)

    def take(self) -> list[bytes] | None:
        head, mark, rest = self.data.partition(b"\r\n")
        if not mark:
            return None
        items = []
        for _ in range(int(head[1:])):
            size, mark, rest = rest.partition(b"\r\n")
            if not mark or len(rest) < int(size[1:]) + 2:
                return None
            items.append(rest[: int(size[1:])])
            rest = rest[int(size[1:]) + 2 :]
        self.data = rest
        return items

    def answer(self, *items: bytes) -> None:
        self.transport.write(b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items))

    def serve(self, word: bytes, tag: bytes, told: bytes = b"-", body: bytes = b"") -> None:
        if self.place in self.world.silent or word == b"STOP":
            return
        if word != b"REQ":
            self.answer(tag, b"UP", b"use=util:0.1;x1:0.2", b"")
            return
        fields = dict(pair.split("=") for pair in told.decode().split(","))
        name, kept = (fields.get("path", ""), fields.get("blk", "0")), self.world.kept[self.name]
        made = kept.get(name)
        origin = KINDS[self.place - 1] == "origin"
        note = "h" if made is not None or origin else "f"
        if made is None and not origin and "src" not in fields:
            self.answer(tag, b"MISS", b"-", b"")
            return
        made = made or int(time.time() * 1000)
        if fields.get("keep", "0") != "0":
            kept[name] = made
        if name[0] and fields.get("have") == name[0]:
            self.answer(tag, b"SAME", f"etag={name[0]},made={made},detail={note},ttfb=1".encode(), b"")
            return
        text = ("".join(name).encode() or b"?") * SIZE
        self.answer(
            tag, b"OK", f"etag={name[0]},made={made},detail={note},ttfb=1".encode(), text[:SIZE] if not body else body
        )


class Listener(protocol.Factory):
    noisy = False

    def __init__(self, build: object) -> None:
        self.build = build

    def buildProtocol(self, addr: object) -> protocol.Protocol:
        return self.build()


class Typed(LineReceiver):
    delimiter = b"\n"

    def __init__(self, world: World) -> None:
        self.world = world

    def lineReceived(self, line: bytes) -> None:
        self.world.command(line.decode())


def main() -> None:
    base = int(sys.argv[1]) if len(sys.argv) > 1 else 7070
    world = World(base)
    if "hidden" not in sys.argv[2:]:
        reactor.listenTCP(base, Listener(lambda: Feed(world)), interface=HOST)
    for place in world.lines:
        reactor.listenTCP(base + place, Listener(lambda place=place: Machine(world, place)), interface=HOST)
    stdio.StandardIO(Typed(world))
    print("ready", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
