"""The router's side of the change log, between the package that follows it and the router's purges and copies.

Imported only where the settings switch `changelog` on. Stamps of purges are Unix time, as the router's; how old the
router's knowledge is, is measured by the follower's own clock, which nobody sets, and only durations go from one to the
other: `limit` turns "informed until" into the greatest age of a copy.
"""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from wickhinge.changelog.context import Runtime
from wickhinge.changelog.endpoint import EndpointConfig
from wickhinge.changelog.entries import Entry, Purge, Setting, is_understood
from wickhinge.changelog.follower_endpoint import FollowerEndpoint
from wickhinge.changelog.log import Snapshot
from wickhinge.changelog.settings import FollowSettings
from wickhinge.changelog.settings_table import JOURNAL, SettingsTable
from wickhinge.fields import MalformedError, parse_host_port
from wickhinge.net.control.endpoint_updates import EndpointUpdates
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.log import Log
from wickhinge.options import changelog as options_of
from wickhinge.options.records import Changelog

ANY_ADDRESS = ("0.0.0.0", 0)


class ChangelogHost(Protocol):
    """What a ChangelogClient needs of its router."""

    reactor: Any
    deadlines: Deadlines
    log: Log
    updates: EndpointUpdates
    decisions: Any  # the Router of wickhinge.routing
    attempts: Any
    local_copies: Any  # None where the store is off

    def move_endpoint_watch(self, address: tuple[str, int]) -> None:
        """The discovery service is elsewhere from now on."""


class ChangelogClient:
    """Follows the change log; raises MalformedError in the constructor with the faulty key."""

    def __init__(self, options: Changelog, name: str, node: ChangelogHost) -> None:
        if len(name.encode()) > options_of.MAX_NAME_BYTES:
            raise MalformedError(
                f"config: field name is over {options_of.MAX_NAME_BYTES} bytes, too long for the change log"
            )
        self._options, self._node, self._log = options, node, node.log.event
        self.settings = SettingsTable(self._log)
        self.settings.subscribe(JOURNAL, self._node.move_endpoint_watch)
        self.follower = FollowerEndpoint(
            EndpointConfig(
                name,
                parse_host_port(options.bind) or ANY_ADDRESS,
                options_of.addresses(options.relays),
                options_of.read_keys(options),
            ),
            Runtime(node.reactor, log=self._log, call_later=node.deadlines.call_after),
            self,
            FollowSettings(bound_s=options.bound_s, ingest_s=options.ingest_s),
        )
        self._limited = True  # as at the last tick: the age of copies is limited
        self._source = ""
        node.decisions.purges.set_age_limit(self.limit)
        if node.local_copies is not None:
            node.local_copies.limit_age(self.limit)

    def start(self) -> None:
        """Raises OSError where `bind` cannot be had."""
        self.follower.start()

    def close(self) -> None:
        """Gives the socket back."""
        self.follower.close()

    def keys_in(self, options: Changelog) -> list[bytes]:
        """The keys of a file that is read again. Raises MalformedError where anything else has changed in it."""
        for key in ("mode", "relays", "bind", "grace_s", "bound_s", "ingest_s"):
            if getattr(options, key) != getattr(self._options, key):
                raise MalformedError(f"changelog.{key}: changes at a restart only")
        return options_of.read_keys(options)

    def use_keys(self, keys: list[bytes]) -> None:
        """Other keys from now on; the first seals what is sent."""
        self.follower.use_keys(keys)
        self._log("changelog_reload", keys=len(keys))

    def limit(self, now: float) -> float | None:  # noqa: ARG002  as the purges and the copies call it
        """The greatest age of a copy that may be served, whatever the time of day is."""
        return self.follower.max_copy_age_s(self._options.grace_s)

    def report_fields(self) -> dict[str, Any]:
        """Its entry in the report."""
        machine, now = self.follower.state_machine, self.follower.clock()
        until = machine.informed_until(now)
        return {
            "epoch": machine.epoch,
            "number": machine.number,
            "source": machine.source,
            "age_s": round(now - until, 2) if until > float("-inf") else None,
            "uninformed": machine.uninformed(now),
            "skipped": machine.skipped,
            "not_understood": machine.not_understood,
            "settings": {row.name: row.state.value for row in self.settings.rows.values()},
            **msgspec.to_builtins(self.follower.counters),
        }

    def apply_entry(self, entry: Entry) -> None:
        """Called with each entry of the log, in order."""
        change = entry.change
        if isinstance(change, Purge):
            self._node.updates.purge(change.key, change.group, change.stamp_ms, 0)
        elif isinstance(change, Setting):
            self.settings.put(change)
        elif not is_understood(change):
            self._log("changelog_not_understood", number=entry.number)

    def load_snapshot(self, snapshot: Snapshot) -> None:
        """Purges of a snapshot are taken together: a start may bring thousands of them."""
        for purge in snapshot.purges:
            self._node.updates.record_purge(purge.key, purge.group, purge.stamp_ms, 0)
        keys = {purge.key for purge in snapshot.purges if purge.key is not None}
        groups = {purge.group for purge in snapshot.purges if purge.key is None}
        self._node.attempts.recall_unwritten(
            lambda sent: sent.attempt.request.object_count.key not in keys and sent.attempt.request.group not in groups
        )
        self._log(
            "changelog_reset",
            epoch=snapshot.epoch,
            number=snapshot.number,
            purges=len(snapshot.purges),
            settings=len(snapshot.settings),
        )
        self.settings.replace(snapshot.settings)

    def after_tick(self) -> None:
        """Logs what changed since the last tick.

        What was decided without a limit, and is not written yet, is decided anew once there is one: it may be written
        much later.
        """
        source = self.follower.state_machine.source
        if source != self._source:
            self._source = source
            self._log("changelog_source", relay=source)
        limited = self.limit(0.0) is not None
        if limited == self._limited:
            return
        self._limited = limited
        if limited:
            self._node.attempts.recall_unwritten(lambda sent: sent.attempt.request.request_class.pass_through)
        figures = self.report_fields()
        state = "changelog_uninformed" if limited else "changelog_informed"
        self._log(state, epoch=figures["epoch"], number=figures["number"], age_s=figures["age_s"])


def make(options: Changelog, name: str, node: ChangelogHost) -> ChangelogClient:
    """Raises MalformedError with the faulty key."""
    return ChangelogClient(options, name, node)
