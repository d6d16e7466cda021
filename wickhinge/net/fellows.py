"""The router's fellows over UDP, between the package that decides who is there and the router's socket and clock.

Imported only where the settings switch `peers` on. One socket at our own address of the roster, datagrams under the
fleet's key, a tick of a twentieth of a second. Time is the system's clock since its start, which nobody sets and which
goes on while a machine sleeps; the wall clock is not used.
"""

from __future__ import annotations

import time
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol

from wickhinge.decide import Chance
from wickhinge.fields import Malformed, endpoint
from wickhinge.options import keys
from wickhinge.peers import wire
from wickhinge.peers.circle import STATES, Circle, Item
from wickhinge.peers.roster import Place, Roster, Unusable

TICK = 0.05
BUSY = 256  # datagrams in a tick that are looked at; the others are counted
SHOWN = 64  # names in a report
SPARE = 2  # processes more than names that may run at once, where the settings name no number


def clock() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Fellows(DatagramProtocol):
    """The router's Circle on its socket."""

    noisy = False

    def __init__(self, node: Any, roster: Roster, key: bytes, seed: int) -> None:
        self.node, self.key, self.closed = node, key, False
        self.after, self.log = node.deadlines.after, node.log.event
        self.unreadable = self.unsent = self.left = self.taken = 0
        self.circle = Circle(roster, Chance(seed), clock(), self.send, lambda event, **told: self.log(
            f"peers_{event}", **told))
        self.seen: Any = None  # of the last view that the log was told
        self.purse: Any = None  # where the settings switch `shared` on

    def share(self, division: Any) -> None:
        """Cold machines' limits are asked of the fleet's budgets from now on."""
        from wickhinge.shared import cold
        from wickhinge.shared.purse import Purse

        self.purse = Purse(self.circle, division, cold.budgets(self.circle.roster.mine.zone), clock(),
                           lambda event, **told: self.log(f"shared_{event}", **told))
        room = cold.Colds(self.purse).room
        self.node.router.fleet.dealt = lambda *asked: room(*asked, clock())

    def start(self) -> None:
        """Raises OSError where our address of the roster cannot be had: another process has the name here."""
        host, port = self.circle.roster.mine.address
        try:
            self.port = self.node.reactor.listenUDP(port, self, interface=host, maxPacketSize=wire.LONGEST + 1)
        except CannotListenError as problem:
            raise OSError(problem.socketError.errno, f"peers: {host}:{port}: {problem.socketError.strerror}") from None
        self.tick()

    def tick(self) -> None:
        if self.closed:
            return
        self.taken = 0
        now = clock()
        self.circle.tick(now)
        if self.purse is not None:
            self.purse.tick(now)
        seen = self.circle.view(now).brief()
        if seen != self.seen:
            self.seen = seen
            self.log("peers_view", **seen)
        self.after(TICK, self.tick)

    def send(self, item: Item) -> None:
        try:
            self.transport.write(wire.pack(self.key, item), self.circle.roster.places[item.to].address)
        except OSError:  # full, or no way there: as lost on the way, which is what all above reckons with
            self.unsent += 1

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self.taken += 1
        if self.taken > BUSY or self.closed:
            self.left += 1
            return
        try:
            item = wire.read(self.key, datagram)
        except wire.Unreadable:
            self.unreadable += 1
            return
        self.circle.heard(item, clock())

    def connectionRefused(self) -> None:
        pass  # nobody listens there just now

    def figures(self) -> dict[str, Any]:
        now, circle = clock(), self.circle
        view = circle.view(now)
        return {"share": round(view.share, 3), "zones": {zone: round(part, 3) for zone, part in view.zones.items()},
                "cut_s": None if view.cut_since is None else round(now - view.cut_since, 1), "unheard": view.unheard,
                "oldest_s": round(view.oldest, 1), "epoch": circle.epoch, "twin": view.twin, "rosters": view.rosters,
                "doubt": circle.doubt, "sent": circle.sent, "unreadable": self.unreadable, "unsent": self.unsent,
                "left": self.left, "states": {name: STATES[entry.state] for name, entry in sorted(
                    circle.entries.items())[:SHOWN]},
                **({} if self.purse is None else {"shared": self.purse.figures(now)})}

    def close(self) -> None:
        self.closed = True
        self.port.stopListening()


def make(options: Any, name: str, node: Any) -> Fellows:
    """Raises Malformed with the faulty key."""
    found = options.peers
    places = []
    for place, one in enumerate(found.roster):
        address = endpoint(one.address)
        if address is None:
            raise Malformed(f"peers.roster[{place}].address: is not an address as 127.0.0.1:7071")
        places.append(Place(one.name, address, one.zone))
    try:
        roster = Roster(places, name)
    except Unusable as problem:
        raise Malformed(f"peers.roster: {problem}") from None
    made = Fellows(node, roster, keys.read("peers.key_file", found.key_file), node.seed ^ 0xFE110)
    if options.shared.mode == "on":
        from wickhinge.shared.purse import Division

        zones = {one.zone for one in places}
        if roster.mine.zone != node.router.fleet.zone and zones != {""}:
            raise Malformed(f"peers.roster: {name} stands in zone {roster.mine.zone!r}, the platform's settings say "
                            f"{node.router.fleet.zone!r}: caches' limits are dealt among a zone's routers")
        names = options.shared.names or len(roster)
        made.share(Division(names, options.shared.processes or names + SPARE))
    return made
