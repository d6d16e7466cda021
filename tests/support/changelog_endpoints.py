"""Endpoints of the change log with sockets and clock by hand, and what their tests share."""

from tests.support.changelog_log import KEY
from wickhinge.changelog.codec import Codec
from wickhinge.changelog.context import Runtime
from wickhinge.changelog.endpoint import EndpointConfig
from wickhinge.changelog.entries import Entry
from wickhinge.changelog.follower_endpoint import FollowerEndpoint
from wickhinge.changelog.messages import Packet, Unsubscribe
from wickhinge.changelog.relay_endpoint import RelayEndpoint
from wickhinge.changelog.replica_endpoint import ReplicaEndpoint

HERE, THERE, ELSEWHERE = ("10.0.0.1", 1), ("10.0.0.2", 2), ("10.0.0.3", 3)
NEXT_KEY = b"n" * 32
REPLICAS = {"a": HERE, "b": THERE, "c": ELSEWHERE}
ON = 'changelog: {mode: "on", key_file: "/k", relays: [{name: "l", address: "10.0.0.1:7"}]'


def entry(number, change):
    return Entry(1, number, change)


class Sockets:
    """A reactor of one node: what it sends is in `sent`, and nothing moves by itself."""

    def __init__(self):
        self.now, self.sent, self.calls, self.failing = 0.0, [], [], None

    def listenUDP(self, port, protocol, interface, maxPacketSize):
        protocol.transport = self
        return self

    def getHost(self):
        return self

    port = 7000

    def stopListening(self):
        return None

    def write(self, datagram, address):
        if self.failing:
            raise OSError(self.failing, "planted")
        self.sent.append((datagram, address))

    def callLater(self, delay, call):
        self.calls.append((self.now + delay, call))
        return self

    def active(self):
        return False

    def run(self, until):
        while self.calls and min(self.calls, key=lambda one: one[0])[0] <= until:
            due = min(self.calls, key=lambda one: one[0])
            self.calls.remove(due)
            self.now = due[0]
            due[1]()
        self.now = until

    def clock(self):
        return self.now


def started(made):
    made.start()
    return made


class Consumer:
    """A router's side that does nothing, or what a test gives it."""

    def __init__(self, apply_entry=lambda entry: None):
        self.apply_entry = apply_entry

    def load_snapshot(self, snapshot):
        pass

    def after_tick(self):
        pass


def relay_endpoint(sockets, keys=(KEY,)):
    return started(RelayEndpoint(EndpointConfig("l", HERE, REPLICAS, keys), Runtime(sockets, sockets.clock)))


def follower_endpoint(sockets, consumer=None, **more):
    config = EndpointConfig("n", HERE, {"l": THERE}, [KEY])
    return started(FollowerEndpoint(config, Runtime(sockets, sockets.clock, **more), consumer or Consumer()))


def replica_endpoint(sockets, storage, **more):
    config = EndpointConfig("a", HERE, REPLICAS, [KEY])
    return started(ReplicaEndpoint(config, Runtime(sockets, sockets.clock), storage, **more))


def datagram(key, sender="b", to="l"):
    return Codec(key, sender).encode(to, Packet(sender, 2, 2, 0, 0, 0, Unsubscribe()))
