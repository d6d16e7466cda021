"""Asks the replicas for purges and settings at a steady rate, as an operator's program does, and keeps the truth."""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec

from bench.scale.fleet_records import Change
from wickhinge.changelog import entries
from wickhinge.changelog.administration import APPEND_COMMAND, AppendAnswer, AppendState
from wickhinge.cli.changelog_client import Client, NotAppendedError
from wickhinge.options.records import Changelog

AT_ONCE = 48
WITHIN_S = 20.0
SETTING_NAMES = 16
TURN_S = 0.002
TAKEN = (AppendState.WAITING, AppendState.COMMITTED)


class LeaderFirst(Client):
    """A client that asks first whoever took the last change. After `stopped.set()` it asks nobody any more."""

    def __init__(self, options: Changelog) -> None:
        super().__init__(options)
        self._lock = threading.Lock()
        self.stopped = threading.Event()

    def _ask(self, name: str, word: str, more: bytes, attempts: int) -> bytes:
        if self.stopped.is_set():
            raise NotAppendedError("stopped")
        data = super()._ask(name, word, more, attempts)
        if word == APPEND_COMMAND and name != next(iter(self.replicas)):
            if msgspec.json.decode(data, type=AppendAnswer).state in TAKEN:
                with self._lock:
                    self.replicas = {name: self.replicas[name], **self.replicas}
        return data


class Proposer:
    """`rate`: purges a second. `settings_rate`: settings a second. `run` in a thread of its own, once."""

    def __init__(self, client: LeaderFirst, rate: float, settings_rate: float) -> None:
        self._client, self._rate, self._settings_rate = client, rate, settings_rate
        self.truth: list[Change] = []
        self.failures: list[str] = []

    def stop(self) -> None:
        """What waits for an answer is given up, so that `run` returns within a second."""
        self._client.stopped.set()

    def run(self, start: float, until: float) -> None:
        """From `start` to `until`; returns when all that was asked for is answered."""
        purges = settings = 0
        with ThreadPoolExecutor(AT_ONCE) as executor:
            while (now := time.monotonic()) < until and not self._client.stopped.is_set():
                if now >= start + purges / self._rate:
                    purges += 1
                    executor.submit(self._append, purges, entries.Purge(purges, 0, 0), now)
                if now >= start + settings / self._settings_rate:
                    settings += 1
                    name = f"bench.{settings % SETTING_NAMES}"
                    change = entries.Setting(name, str(settings).encode(), 0)
                    executor.submit(self._append, -settings, change, now)
                time.sleep(TURN_S)

    def _append(self, identity: int, change: entries.Change, asked: float) -> None:
        """`asked` counts also where all threads were busy."""
        ahead_s = time.time() - time.monotonic()
        try:
            answer = self._client.append(change, WITHIN_S)
        except NotAppendedError as fault:
            self.failures.append(f"{identity}: {fault}")
            return
        stamped = answer.stamp_ms / 1000 - ahead_s
        self.truth.append(Change(answer.number, identity, asked, stamped, time.monotonic()))
