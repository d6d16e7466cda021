"""Router's client of the change log; applies its purges and settings to the router.

This module is imported only if the options switch `changelog` on. Times of purges are Unix time, as in the rest of the
router. How long ago the router was informed of all changes is measured by the follower's own clock, which is never
stepped. Only durations pass between the two clocks: `max_copy_age_s` converts the time until which the router is
informed into the greatest age of a copy that may be served.
"""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from wickhinge.changelog.context import Runtime
from wickhinge.changelog.endpoint import EndpointConfig
from wickhinge.changelog.entries import Entry, Purge, Setting, is_understood
from wickhinge.changelog.follower_endpoint import FollowerEndpoint
from wickhinge.changelog.log import Snapshot
from wickhinge.changelog.messages import DiscoveryStatus
from wickhinge.changelog.settings import FollowSettings
from wickhinge.changelog.settings_table import JOURNAL_SETTING, SettingsTable, SettingState, SettingStatus
from wickhinge.fields import MalformedError, parse_host_port
from wickhinge.net.control.discovery_addresses import Address, DiscoveryAddresses, format_address
from wickhinge.net.control.endpoint_updates import EndpointUpdates
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.log import Log
from wickhinge.options import changelog as changelog_options
from wickhinge.options.records import Changelog

ANY_ADDRESS = ("0.0.0.0", 0)


class ChangelogHost(Protocol):
    """Parts of the router that a ChangelogClient uses."""

    reactor: Any
    deadlines: Deadlines
    log: Log
    updates: EndpointUpdates
    decisions: Any  # Router of wickhinge.routing.
    attempts: Any
    local_copies: Any  # None if the store is switched off.
    discovery: DiscoveryAddresses

    def discovery_addresses_changed(self) -> None:
        """Try the preferred address of the discovery service; called after `discovery` has changed."""


class DiscoveryAddressSetting:
    """Handler of the setting that holds the address of the discovery service."""

    def __init__(self, node: ChangelogHost) -> None:
        """Pass the setting's values to the addresses of the router `node`."""
        self._node = node

    def apply_entry(self, value: Address) -> None:
        """Prefer the address from now on."""
        if self._node.discovery.apply_setting(value):
            self._node.discovery_addresses_changed()

    def load_from_snapshot(self, value: Address) -> None:
        """Try the address, which may be older or newer than the one in force."""
        if self._node.discovery.load_setting(value):
            self._node.discovery_addresses_changed()

    def remove(self) -> None:
        """Learn that the log has no address any more; the one in force stays."""
        self._node.discovery.forget_setting()

    def status(self) -> SettingStatus:
        """Return whether the address of the setting is in force."""
        reason = self._node.discovery.why_setting_is_not_in_force()
        if not reason:
            return SettingStatus(SettingState.IN_FORCE)
        is_undecided = self._node.discovery.is_setting_undecided()
        return SettingStatus(SettingState.BEING_TRIED if is_undecided else SettingState.OUT_OF_FORCE, reason)


class ChangelogClient:
    """Follower of the change log in a router process."""

    def __init__(self, options: Changelog, name: str, node: ChangelogHost) -> None:
        """Create a follower that does nothing until `start`.

        Args:
            options: The `changelog` options.
            name: Name of the router.
            node: Router that the changes are applied to.

        Raises:
            MalformedError: A key of the options is invalid, or the router's name is too long.
        """
        if len(name.encode()) > changelog_options.MAX_NAME_BYTES:
            raise MalformedError(
                f"config: field name is over {changelog_options.MAX_NAME_BYTES} bytes, too long for the change log"
            )
        self._options, self._node, self._log = options, node, node.log.event
        self.settings = SettingsTable(self._log)
        self.settings.set_handler(JOURNAL_SETTING, DiscoveryAddressSetting(node))
        self.follower = FollowerEndpoint(
            EndpointConfig(
                name,
                parse_host_port(options.bind) or ANY_ADDRESS,
                changelog_options.addresses_by_name(options.relays),
                changelog_options.read_keys(options),
            ),
            Runtime(node.reactor, log=self._log, call_later=node.deadlines.call_after),
            self,
            FollowSettings(bound_s=options.bound_s, ingest_s=options.ingest_s),
        )
        self._is_copy_age_limited = True  # State at the last tick.
        self._logged_source = ""
        node.decisions.purges.set_age_limit(self.max_copy_age_s)
        if node.local_copies is not None:
            node.local_copies.limit_age(self.max_copy_age_s)

    def start(self) -> None:
        """Open the socket and start to follow.

        Raises:
            OSError: The address `bind` of the options cannot be bound.
        """
        self.follower.start()

    def close(self) -> None:
        """Close the socket."""
        self.follower.close()

    def reload(self, options: Changelog) -> dict[str, object]:
        """Replace the keys by those that the options name; return fields for the log event.

        Messages are sealed with the first key and accepted under each. The other options keep their values.

        Raises:
            MalformedError: No key is named; the keys stay as they are.
            UnreadableFileError: A key file cannot be read; the keys stay as they are.
        """
        keys = changelog_options.read_keys(options)
        self.follower.use_keys(keys)
        self._log("changelog_reload", keys=len(keys))
        return {"keys": len(keys)}

    def max_copy_age_s(self, now: float) -> float | None:  # noqa: ARG002  signature of an age limit
        """Return the greatest age in seconds of a copy that may be served, or None for no limit.

        The result does not depend on the wall clock.
        """
        return self.follower.max_copy_age_s(self._options.grace_s)

    def _discovery_status(self) -> DiscoveryStatus:
        in_force = self._node.discovery.in_force()
        row = self.settings.rows().get(JOURNAL_SETTING)
        reason = "" if row is None or row.state is SettingState.IN_FORCE else f"{row.state.value}: {row.reason}"
        return DiscoveryStatus(format_address(in_force.address), in_force.serves, in_force.source.value, reason)

    def report_fields(self) -> dict[str, Any]:
        """Return the change log's entry in the report."""
        state_machine, now = self.follower.state_machine, self.follower.clock()
        informed_until = state_machine.informed_until(now)
        return {
            "epoch": state_machine.epoch,
            "number": state_machine.number,
            "source": state_machine.source,
            "age_s": round(now - informed_until, 2) if informed_until > float("-inf") else None,
            "uninformed": state_machine.is_uninformed(now),
            "skipped": state_machine.skipped_entries,
            "not_understood": state_machine.unapplied_changes,
            "settings": {name: row.state.value for name, row in self.settings.rows().items()},
            **msgspec.to_builtins(self.follower.counters),
        }

    def apply_entry(self, entry: Entry) -> None:
        """Apply the next entry of the log; entries arrive in the order of their numbers."""
        change = entry.change
        if isinstance(change, Purge):
            self._node.updates.purge(change.key, change.group, change.stamp_ms, 0)
        elif isinstance(change, Setting):
            self.settings.apply_setting(change)
        elif not is_understood(change):
            self._log("changelog_not_understood", number=entry.number)

    def load_snapshot(self, snapshot: Snapshot) -> None:
        """Apply the purges and settings of a snapshot.

        Unwritten attempts are recalled once for all purges together, since a snapshot may hold thousands of them.
        """
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
        self.settings.replace_all(snapshot.settings)

    def after_tick(self) -> None:
        """Log a new source of the log, changed settings, and whether the age of copies has become limited or unlimited.

        When it becomes limited, attempts that were decided without the limit and are not yet written are recalled,
        since they might be written much later. Attempts of pass-through request classes are kept.
        """
        source = self.follower.state_machine.source
        if source != self._logged_source:
            self._logged_source = source
            self._log("changelog_source", relay=source)
        self.settings.log_changes()
        self.follower.state_machine.report_discovery(self._discovery_status())
        is_limited = self.max_copy_age_s(0.0) is not None
        if is_limited == self._is_copy_age_limited:
            return
        self._is_copy_age_limited = is_limited
        if is_limited:
            self._node.attempts.recall_unwritten(lambda sent: sent.attempt.request.request_class.pass_through)
        fields = self.report_fields()
        state = "changelog_uninformed" if is_limited else "changelog_informed"
        self._log(state, epoch=fields["epoch"], number=fields["number"], age_s=fields["age_s"])


def make_changelog_client(options: Changelog, name: str, node: ChangelogHost) -> ChangelogClient:
    """Return a ChangelogClient for the router `node`.

    Raises:
        MalformedError: A key of the options is invalid, or the router's name is too long.
    """
    return ChangelogClient(options, name, node)
