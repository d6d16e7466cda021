"""Asks the replicas for purges and settings at a steady rate, and keeps the accepted ones."""

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

MAX_CONCURRENT_APPENDS = 48
APPEND_TIMEOUT_S = 20.0
SETTING_NAME_COUNT = 16
TICK_S = 0.002
ACCEPTED_STATES = (AppendState.WAITING, AppendState.COMMITTED)


class LeaderFirstClient(Client):
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
            if msgspec.json.decode(data, type=AppendAnswer).state in ACCEPTED_STATES:
                with self._lock:
                    self.replicas = {name: self.replicas[name], **self.replicas}
        return data


class Proposer:
    """`rate`: purges a second. `settings_rate`: settings a second. `run` in a thread of its own, once."""

    def __init__(self, client: LeaderFirstClient, rate: float, settings_rate: float) -> None:
        self._client, self._rate, self._settings_rate = client, rate, settings_rate
        self.accepted_changes: list[Change] = []
        self.failures: list[str] = []

    def stop(self) -> None:
        """What waits for an answer is given up, so that `run` returns within a second."""
        self._client.stopped.set()

    def run(self, start: float, until: float) -> None:
        """From `start` to `until`; returns when all that was asked for is answered."""
        purges = settings = 0
        with ThreadPoolExecutor(MAX_CONCURRENT_APPENDS) as executor:
            while (now := time.monotonic()) < until and not self._client.stopped.is_set():
                if now >= start + purges / self._rate:
                    purges += 1
                    executor.submit(self._append, purges, entries.Purge(purges, 0, 0), now)
                if now >= start + settings / self._settings_rate:
                    settings += 1
                    name = f"bench.{settings % SETTING_NAME_COUNT}"
                    change = entries.Setting(name, str(settings).encode(), 0)
                    executor.submit(self._append, -settings, change, now)
                time.sleep(TICK_S)

    def _append(self, identity: int, change: entries.Change, asked: float) -> None:
        """`asked` counts also where all threads were busy."""
        wall_clock_offset_s = time.time() - time.monotonic()
        try:
            answer = self._client.append(change, APPEND_TIMEOUT_S)
        except NotAppendedError as fault:
            self.failures.append(f"{identity}: {fault}")
            return
        stamped = answer.stamp_ms / 1000 - wall_clock_offset_s
        self.accepted_changes.append(Change(answer.number, identity, asked, stamped, time.monotonic()))
