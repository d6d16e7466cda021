"""Table of the settings that a router has received through the change log."""

import pytest

from wickhinge.changelog.entries import Setting
from wickhinge.changelog.settings_table import SettingsTable, SettingState, check_setting_value
from wickhinge.fields import MalformedError


@pytest.fixture
def table():
    table = SettingsTable(lambda event, **fields: table.logged_events.append((event, fields.get("name"))))
    table.logged_events, table.addresses = [], []
    table.set_handler("journal", table.addresses.append)
    return table


def test_setting_when_its_value_is_invalid_leaves_the_previous_one_in_force(table):
    table.apply_setting(Setting("journal", b"10.0.0.1:7", 1))
    row = table.apply_setting(Setting("journal", b"\xff\xfe:7", 2))
    assert row.state is SettingState.REFUSED and "is not an address" in row.reason
    assert table.addresses == [("10.0.0.1", 7)]
    assert table.apply_setting(Setting("later", b"", 3)).state is SettingState.UNKNOWN
    assert [name for name in table.rows] == ["journal", "later"]


def test_settings_when_replaced_by_a_snapshot_are_applied_only_if_changed(table):
    table.replace_all((Setting("journal", b"10.0.0.1:7", 1), Setting("later", b"1", 1)))
    table.replace_all((Setting("journal", b"10.0.0.1:7", 1),))
    table.replace_all((Setting("journal", b"10.0.0.1:8", 2),))
    assert table.addresses == [("10.0.0.1", 7), ("10.0.0.1", 8)]
    assert ("changelog_setting_removed", "later") in table.logged_events and list(table.rows) == ["journal"]


def test_check_setting_value_when_the_name_is_known_checks_the_value():
    check_setting_value("journal", b"10.0.0.1:7")
    check_setting_value("later", b"anything")
    with pytest.raises(MalformedError, match="is not an address"):
        check_setting_value("journal", b"10.0.0.1")
