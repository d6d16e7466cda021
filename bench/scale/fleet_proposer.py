"""Requests purges and settings from the replicas at a steady rate and records the accepted ones.

The requests are those that an operator's program sends.
"""

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
    """Client that first asks the replica that accepted the last change. Once `stopped` is set it sends no requests."""

    def __init__(self, options: Changelog) -> None:
        super().__init__(options)
        self._lock = threading.Lock()
        self.stopped = threading.Event()

    def _ask(self, name: str, command: str, payload: bytes, attempts: int) -> bytes:
        if self.stopped.is_set():
            raise NotAppendedError("the proposer was stopped")
        data = super()._ask(name, command, payload, attempts)
        if command == APPEND_COMMAND and name != next(iter(self.replica_addresses)):
            if msgspec.json.decode(data, type=AppendAnswer).state in ACCEPTED_STATES:
                with self._lock:
                    self.replica_addresses = {name: self.replica_addresses[name], **self.replica_addresses}
        return data


class Proposer:
    """Proposes `rate` purges and `settings_rate` settings per second. Call `run` once, in a thread of its own."""

    def __init__(self, client: LeaderFirstClient, rate: float, settings_rate: float) -> None:
        self._client, self._rate, self._settings_rate = client, rate, settings_rate
        self.accepted_changes: list[Change] = []
        self.failures: list[str] = []

    def stop(self) -> None:
        """Give up all open requests, so that `run` returns within a second."""
        self._client.stopped.set()

    def run(self, start: float, until: float) -> None:
        """Propose changes from `start` to `until`; return when every request is answered or has failed."""
        purge_count = setting_count = 0
        with ThreadPoolExecutor(MAX_CONCURRENT_APPENDS) as executor:
            while (now := time.monotonic()) < until and not self._client.stopped.is_set():
                if now >= start + purge_count / self._rate:
                    purge_count += 1
                    executor.submit(self._append, purge_count, entries.Purge(purge_count, 0, 0), now)
                if now >= start + setting_count / self._settings_rate:
                    setting_count += 1
                    name = f"bench.{setting_count % SETTING_NAME_COUNT}"
                    change = entries.Setting(name, str(setting_count).encode(), 0)
                    executor.submit(self._append, -setting_count, change, now)
                time.sleep(TICK_S)

    def _append(self, identity: int, change: entries.Change, asked: float) -> None:
        """Append a change.

        `asked` is when the change was due, even if all threads were busy then, so that the wait counts as delay.
        """
        wall_clock_offset_s = time.time() - time.monotonic()
        try:
            answer = self._client.append(change, APPEND_TIMEOUT_S)
        except NotAppendedError as fault:
            self.failures.append(f"{identity}: {fault}")
            return
        stamped = answer.stamp_ms / 1000 - wall_clock_offset_s
        self.accepted_changes.append(Change(answer.number, identity, asked, stamped, time.monotonic()))
