"""What becomes of a datagram on its way from one place to another, by the faults that are active: for both ways to
play a schedule.
"""

from __future__ import annotations

import random

from wickhinge.lab.many.schedule import Fault


class Between:
    def __init__(self, rand: random.Random) -> None:
        self.random = rand
        self.active: list[Fault] = []

    def cut(self, one: int, to: int, now: float) -> bool:
        for fault in self.active:
            if fault.kind == "flap" and int((now - fault.at_s) / fault.amount) % 2:
                continue
            if fault.kind in ("cut", "flap", "one_way") and (
                one in fault.one
                and to in fault.other
                or fault.kind != "one_way"
                and to in fault.one
                and one in fault.other
            ):
                return True
        return False

    def lies(self, one: int) -> bool:
        return any(fault.kind == "lie" and one in fault.one for fault in self.active)

    def fate(self, one: int, to: int, now: float, hop: float) -> list[float]:
        """Seconds after which each of its copies arrives; none for a lost one."""
        copies, delay = 1, hop
        for fault in self.active:
            if one not in fault.one and to not in fault.one:
                continue
            if fault.kind == "loss" and self.random.random() < fault.amount:
                return []
            if fault.kind == "delay":
                delay += fault.amount
            elif fault.kind == "reorder":
                delay += fault.amount * self.random.random()
            elif fault.kind == "double" and self.random.random() < fault.amount:
                copies += 1
        if self.cut(one, to, now):
            return []
        return [delay * (1 + copy * self.random.random()) for copy in range(copies)]
