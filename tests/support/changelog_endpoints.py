"""Endpoints of the change log on a fake reactor whose clock the test advances, and shared test data."""

from tests.support.changelog_log import KEY
from wickhinge.changelog.codec import Codec
from wickhinge.changelog.context import Runtime
from wickhinge.changelog.endpoint import EndpointConfig
from wickhinge.changelog.entries import Entry
from wickhinge.changelog.follower_endpoint import FollowerEndpoint
from wickhinge.changelog.messages import Packet, Unsubscribe
from wickhinge.changelog.relay_endpoint import RelayEndpoint
from wickhinge.changelog.replica_endpoint import ReplicaEndpoint

ADDRESS_A, ADDRESS_B, ADDRESS_C = ("10.0.0.1", 1), ("10.0.0.2", 2), ("10.0.0.3", 3)
NEXT_KEY = b"n" * 32
REPLICAS = {"a": ADDRESS_A, "b": ADDRESS_B, "c": ADDRESS_C}
ENABLED_OPTIONS = 'changelog: {mode: "on", key_file: "/k", relays: [{name: "l", address: "10.0.0.1:7"}]'


def entry(number, change):
    return Entry(1, number, change)


class FakeReactor:
    """Reactor of one endpoint: it collects the sent datagrams, and its clock advances only in `run`.

    Each write fails with `write_errno` if that is set.
    """

    def __init__(self):
        self.now, self.sent_datagrams, self.scheduled_calls, self.write_errno = 0.0, [], [], None

    def listenUDP(self, port, protocol, interface, maxPacketSize):
        protocol.transport = self
        return self

    def getHost(self):
        return self

    port = 7000

    def stopListening(self):
        return None

    def write(self, datagram, address):
        if self.write_errno:
            raise OSError(self.write_errno, "write failure of the test")
        self.sent_datagrams.append((datagram, address))

    def callLater(self, delay, call):
        self.scheduled_calls.append((self.now + delay, call))
        return self

    def active(self):
        return False

    def run(self, until):
        while self.scheduled_calls and min(self.scheduled_calls, key=lambda scheduled: scheduled[0])[0] <= until:
            next_call = min(self.scheduled_calls, key=lambda scheduled: scheduled[0])
            self.scheduled_calls.remove(next_call)
            self.now = next_call[0]
            next_call[1]()
        self.now = until

    def clock(self):
        return self.now


def start_endpoint(endpoint):
    endpoint.start()
    return endpoint


class Consumer:
    """ChangeConsumer that ignores all changes unless the test passes its own `apply_entry`."""

    def __init__(self, apply_entry=lambda entry: None):
        self.apply_entry = apply_entry

    def load_snapshot(self, snapshot):
        pass

    def after_tick(self):
        pass


def start_relay_endpoint(reactor, keys=(KEY,)):
    return start_endpoint(
        RelayEndpoint(EndpointConfig("l", ADDRESS_A, REPLICAS, keys), Runtime(reactor, reactor.clock))
    )


def start_follower_endpoint(reactor, consumer=None, **runtime_arguments):
    config = EndpointConfig("n", ADDRESS_A, {"l": ADDRESS_B}, [KEY])
    return start_endpoint(
        FollowerEndpoint(config, Runtime(reactor, reactor.clock, **runtime_arguments), consumer or Consumer())
    )


def start_replica_endpoint(reactor, storage, **endpoint_arguments):
    config = EndpointConfig("a", ADDRESS_A, REPLICAS, [KEY])
    return start_endpoint(ReplicaEndpoint(config, Runtime(reactor, reactor.clock), storage, **endpoint_arguments))


def make_datagram(key, sender="b", to="l"):
    return Codec(key, sender).encode(to, Packet(sender, 2, 2, 0, 0, 0, Unsubscribe()))
