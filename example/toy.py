"""A toy deployment for one router: two caches, a parent, an origin and a journal service.

    python example/toy.py [PORT [hidden]]

The journal service listens on PORT (default 7070), the servers on the ports after it. With `hidden`, only the servers
listen, as if the journal service were down. A server keeps the parts that a request asks it to keep, until a purge.

Commands on standard input, where N is the place of a server from 1:

    drain N         announce that the server drains
    silent N        let the server answer nothing any more
    kill N          reset the server's connections
    purge OBJECT    drop the object from all servers and announce the purge
    drop            reset the connections of the journal service
    quit            end the program
"""

from __future__ import annotations

import sys
import time
from struct import pack, unpack

from twisted.internet import protocol, reactor, stdio, task
from twisted.protocols.basic import LineReceiver

HOST = "127.0.0.1"
KINDS = ("box", "box", "parent", "origin")  # The kind of each server, in the order of places.
SERVER_KINDS = ("box", "parent", "origin")  # The names of the kinds in the example's settings.
BODY_BYTES = 20_000


def endpoint_id(place: int) -> int:
    """Return the endpoint id of the server at a place from 1."""
    return 0xA0 + place


class World:
    """The state that all stand-ins share: the parts that servers keep and the frames of the journal."""

    def __init__(self, base: int) -> None:
        """Prepare a deployment with its journal service on port `base`."""
        self.base = base
        self.kept_parts = {f"s-{endpoint_id(n):08x}": {} for n in range(1, len(KINDS) + 1)}
        self.frames: list[bytes] = []
        self.readers: set[JournalConnection] = set()
        self.silent: set[int] = set()  # Places of servers that answer nothing.
        self.connections: dict[int, set[ServerConnection]] = {n: set() for n in range(1, len(KINDS) + 1)}
        self.publish(1, b"".join(self.record(n, 0) for n in range(1, len(KINDS) + 1)))

    def record(self, place: int, state: int) -> bytes:
        """Return the record of a server in an endpoint list; state 0 is ready, 1 draining."""
        kind = SERVER_KINDS.index(KINDS[place - 1])
        zone = min(kind, 1)
        return pack(
            ">I4sHBBBHIQ", endpoint_id(place), bytes([127, 0, 0, 1]), self.base + place, state, zone, kind, 0, 4000, 0
        )

    def publish(self, kind: int, payload: bytes) -> None:
        """Append an event to the journal and send it to all connected routers."""
        self.frames.append(pack(">IQB", 9 + len(payload), len(self.frames) + 1, kind) + payload)
        for reader in self.readers:
            reader.transport.write(self.frames[-1])

    def run_command(self, line: str) -> None:
        """Carry out a command that was typed; other lines are ignored."""
        match line.split():
            case ["drain", place]:
                self.publish(2, self.record(int(place), 1))
            case ["purge", key]:
                for parts in self.kept_parts.values():
                    for name in [name for name in parts if name[0] == key]:
                        del parts[name]
                self.publish(3, pack(">QQ", int(key, 16), int(time.time() * 1000)))
            case ["silent", place]:
                self.silent.add(int(place))
            case ["kill", place]:
                for connection in list(self.connections[int(place)]):
                    connection.transport.abortConnection()
            case ["drop"]:
                for reader in list(self.readers):
                    reader.transport.abortConnection()
            case ["quit"]:
                reactor.stop()


class JournalConnection(protocol.Protocol):
    """The journal service's side of a connection of one router."""

    def __init__(self, world: World) -> None:
        """Send the events of `world`."""
        self.world, self.data = world, b""

    def dataReceived(self, data: bytes) -> None:
        """Send all events after the number that the router asks for, then heartbeats; called by Twisted."""
        self.data += data
        if len(self.data) >= 8 and self not in self.world.readers:
            (last,) = unpack(">Q", self.data[:8])
            self.transport.write(b"".join(self.world.frames[last:]))
            self.world.readers.add(self)
            self.heartbeat = task.LoopingCall(lambda: self.transport.write(pack(">IQB", 9, len(self.world.frames), 0)))
            self.heartbeat.start(1.0)

    def connectionLost(self, reason: object = None) -> None:
        """Stop the events and heartbeats; called by Twisted."""
        if self in self.world.readers:
            self.world.readers.remove(self)
            self.heartbeat.stop()


class ServerConnection(protocol.Protocol):
    """A router's connection to a cache, parent or origin."""

    def __init__(self, world: World, place: int) -> None:
        """Serve a connection to the server at a place from 1."""
        self.world, self.place, self.data = world, place, b""
        self.name = f"s-{endpoint_id(place):08x}"

    def connectionMade(self) -> None:
        """Add the connection to those of the server; called by Twisted."""
        self.world.connections[self.place].add(self)

    def connectionLost(self, reason: object = None) -> None:
        """Remove the connection from those of the server; called by Twisted."""
        self.world.connections[self.place].discard(self)

    def dataReceived(self, data: bytes) -> None:
        """Serve each complete message; called by Twisted."""
        self.data += data
        while (items := self.take_message()) is not None:
            self.serve(*items)

    def take_message(self) -> list[bytes] | None:
        """Take a complete message from the received data and return its items, or None if there is none."""
        head, separator, rest = self.data.partition(b"\r\n")
        if not separator:
            return None
        items = []
        for _ in range(int(head[1:])):
            size, separator, rest = rest.partition(b"\r\n")
            if not separator or len(rest) < int(size[1:]) + 2:
                return None
            items.append(rest[: int(size[1:])])
            rest = rest[int(size[1:]) + 2 :]
        self.data = rest
        return items

    def answer(self, *items: bytes) -> None:
        """Write a message of the given items."""
        self.transport.write(b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items))

    def serve(self, command: bytes, tag: bytes, packed_fields: bytes = b"-", body: bytes = b"") -> None:
        """Answer one message, unless the server is silent: a request, a health check, or STOP, which has no answer."""
        if self.place in self.world.silent or command == b"STOP":
            return
        if command != b"REQ":
            self.answer(tag, b"UP", b"use=util:0.1;x1:0.2", b"")
            return
        fields = dict(pair.split("=") for pair in packed_fields.decode().split(","))
        name, kept_parts = (fields.get("path", ""), fields.get("blk", "0")), self.world.kept_parts[self.name]
        made_ms = kept_parts.get(name)
        is_origin = KINDS[self.place - 1] == "origin"
        detail = "h" if made_ms is not None or is_origin else "f"
        if made_ms is None and not is_origin and "src" not in fields:
            self.answer(tag, b"MISS", b"-", b"")
            return
        made_ms = made_ms or int(time.time() * 1000)
        if fields.get("keep", "0") != "0":
            kept_parts[name] = made_ms
        if name[0] and fields.get("have") == name[0]:
            self.answer(tag, b"SAME", f"etag={name[0]},made={made_ms},detail={detail},ttfb=1".encode(), b"")
            return
        text = ("".join(name).encode() or b"?") * BODY_BYTES
        self.answer(
            tag,
            b"OK",
            f"etag={name[0]},made={made_ms},detail={detail},ttfb=1".encode(),
            text[:BODY_BYTES] if not body else body,
        )


class ConnectionFactory(protocol.Factory):
    """Builds the protocol of each accepted connection by a given function."""

    noisy = False

    def __init__(self, build: object) -> None:
        """Call `build` for each accepted connection."""
        self.build = build

    def buildProtocol(self, addr: object) -> protocol.Protocol:
        """Return the protocol of a new connection; called by Twisted."""
        return self.build()


class CommandReader(LineReceiver):
    """Reads commands from standard input, one a line."""

    delimiter = b"\n"

    def __init__(self, world: World) -> None:
        """Run the commands on `world`."""
        self.world = world

    def lineReceived(self, line: bytes) -> None:
        """Run one command; called by Twisted."""
        self.world.run_command(line.decode())


def main() -> None:
    """Start the journal service and the servers, print "ready", and run until `quit`."""
    base = int(sys.argv[1]) if len(sys.argv) > 1 else 7070
    world = World(base)
    if "hidden" not in sys.argv[2:]:
        reactor.listenTCP(base, ConnectionFactory(lambda: JournalConnection(world)), interface=HOST)
    for place in world.connections:
        reactor.listenTCP(
            base + place, ConnectionFactory(lambda place=place: ServerConnection(world, place)), interface=HOST
        )
    stdio.StandardIO(CommandReader(world))
    print("ready", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
