"""A simulated process: its clock, its state on stable storage, and its state machine while it runs."""

from __future__ import annotations

import random

from wickhinge.changelog.codec import Codec
from wickhinge.changelog.follower import Follower
from wickhinge.changelog.log import Log
from wickhinge.changelog.messages import Packet
from wickhinge.changelog.relay import Relay
from wickhinge.changelog.replica import Replica
from wickhinge.changelog.stored import StoredState
from wickhinge.lab.changelog.oracle import FollowerState

KEY = b"walk" * 8
MAX_CLOCK_RATE_ERROR = 0.05  # Maximum relative error of the rate of a process's clock.


class Clock:
    """A process's monotonic clock, with a rate and a starting value that differ from those of true time."""

    def __init__(self, rand: random.Random) -> None:
        self._rate = 1 + rand.uniform(-MAX_CLOCK_RATE_ERROR, MAX_CLOCK_RATE_ERROR)
        self._offset = rand.uniform(0, 1e6)

    def at(self, true_s: float) -> float:
        """Return the clock's time at a true time."""
        return self._offset + true_s * self._rate

    def to_true_time(self, local: float) -> float:
        """Return the true time at which the clock shows the time `local`."""
        return (local - self._offset) / self._rate


class Process:
    """A replica, a relay or a follower, over all its incarnations.

    Attributes:
        name: Name of the process.
        newest_format: Newest format of packets that the process can read.
        clock: The process's own clock.
        codec: Encodes and decodes the process's packets.
        state_machine: The state machine of the running process; None while the process does not run.
        incarnation: Number that increases with each start and end.
        started_s: True time of the last start.
        is_paused: Whether the process is paused, so that its packets are queued.
        queued_packets: Packets that arrived while the process was paused.
        stored: State on stable storage, which an end of the process does not change.
        follower_state: What a follower's router has applied; unused for replicas and relays.
    """

    def __init__(self, name: str, rand: random.Random, newest_format: int) -> None:
        self.name, self.newest_format = name, newest_format
        self.clock = Clock(rand)
        self.codec = Codec(KEY, name)
        self.state_machine: Replica | Relay | Follower | None = None
        self.incarnation = 0
        self.started_s = 0.0
        self.is_paused = False
        self.queued_packets: list[Packet] = []
        self.stored = StoredState()
        self.follower_state = FollowerState()

    @property
    def replica(self) -> Replica:
        """Return the state machine of a running replica."""
        assert isinstance(self.state_machine, Replica)
        return self.state_machine

    @property
    def relay(self) -> Relay:
        """Return the state machine of a running relay."""
        assert isinstance(self.state_machine, Relay)
        return self.state_machine

    @property
    def follower(self) -> Follower:
        """Return the state machine of a running follower."""
        assert isinstance(self.state_machine, Follower)
        return self.state_machine

    @property
    def log(self) -> Log:
        """Return the log of a running replica or relay."""
        assert isinstance(self.state_machine, Replica | Relay)
        return self.state_machine.log
