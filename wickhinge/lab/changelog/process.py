"""A process of the walk: its clock, what it has on stable storage, and its state machine while it runs."""

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
CLOCK_ERROR = 0.05  # of a clock's rate


class Clock:
    """A process's own clock: its rate and its zero are its own."""

    def __init__(self, rand: random.Random) -> None:
        self._rate = 1 + rand.uniform(-CLOCK_ERROR, CLOCK_ERROR)
        self._offset = rand.uniform(0, 1e6)

    def at(self, true_s: float) -> float:
        """What the clock shows at a true time."""
        return self._offset + true_s * self._rate

    def true(self, local: float) -> float:
        """The true time at which the clock shows `local`."""
        return (local - self._offset) / self._rate


class Process:
    """One name of the fleet over all its incarnations. `state_machine` is None while it does not run."""

    def __init__(self, name: str, rand: random.Random, newest_format: int) -> None:
        self.name, self.newest_format = name, newest_format
        self.clock = Clock(rand)
        self.codec = Codec(KEY, name)
        self.state_machine: Replica | Relay | Follower | None = None
        self.incarnation = 0
        self.started_s = 0.0
        self.paused = False
        self.queued: list[Packet] = []
        self.stored = StoredState()
        self.model = FollowerState()

    @property
    def replica(self) -> Replica:
        """The state machine of a replica that runs."""
        assert isinstance(self.state_machine, Replica)
        return self.state_machine

    @property
    def relay(self) -> Relay:
        """The state machine of a relay that runs."""
        assert isinstance(self.state_machine, Relay)
        return self.state_machine

    @property
    def follower(self) -> Follower:
        """The state machine of a follower that runs."""
        assert isinstance(self.state_machine, Follower)
        return self.state_machine

    @property
    def log(self) -> Log:
        """The log of a replica or a relay that runs."""
        assert isinstance(self.state_machine, Replica | Relay)
        return self.state_machine.log
