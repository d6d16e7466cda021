"""Loss, delay, duplication and cuts of datagrams by the active faults, for simulated and for real fleets."""

from __future__ import annotations

import random

from wickhinge.lab.many.schedule import Fault


class NetworkFaults:
    """The active faults of a schedule, and their effect on each datagram."""

    def __init__(self, rand: random.Random) -> None:
        self.random = rand
        self.active: list[Fault] = []

    def is_cut(self, sender: int, receiver: int, now: float) -> bool:
        """Return whether an active fault blocks datagrams from the sender's router to the receiver's."""
        for fault in self.active:
            if fault.kind == "flap" and int((now - fault.at_s) / fault.amount) % 2:
                continue
            if fault.kind in ("cut", "flap", "one_way") and (
                sender in fault.one
                and receiver in fault.other
                or fault.kind != "one_way"
                and receiver in fault.one
                and sender in fault.other
            ):
                return True
        return False

    def is_lying(self, router_index: int) -> bool:
        """Return whether an active fault makes this router send false statements."""
        return any(fault.kind == "lie" and router_index in fault.one for fault in self.active)

    def draw_arrival_delays(self, sender: int, receiver: int, now: float, hop_delay_s: float) -> list[float]:
        """Return the delay in seconds of each copy of a datagram that arrives; the list is empty if it is lost."""
        copies, delay = 1, hop_delay_s
        for fault in self.active:
            if sender not in fault.one and receiver not in fault.one:
                continue
            if fault.kind == "loss" and self.random.random() < fault.amount:
                return []
            if fault.kind == "delay":
                delay += fault.amount
            elif fault.kind == "reorder":
                delay += fault.amount * self.random.random()
            elif fault.kind == "double" and self.random.random() < fault.amount:
                copies += 1
        if self.is_cut(sender, receiver, now):
            return []
        return [delay * (1 + copy * self.random.random()) for copy in range(copies)]
