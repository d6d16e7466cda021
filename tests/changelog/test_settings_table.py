"""The change log: settings in force at a router."""

import pytest

from wickhinge.changelog.entries import Setting
from wickhinge.changelog.settings_table import SettingsTable, SettingState, check_setting_value
from wickhinge.fields import MalformedError


@pytest.fixture
def table():
    made = SettingsTable(lambda event, **fields: made.told.append((event, fields.get("name"))))
    made.told, made.addresses = [], []
    made.set_handler("journal", made.addresses.append)
    return made


def test_setting_when_it_does_not_fit_leaves_the_old_one_in_force(table):
    table.apply_setting(Setting("journal", b"10.0.0.1:7", 1))
    row = table.apply_setting(Setting("journal", b"\xff\xfe:7", 2))
    assert row.state is SettingState.REFUSED and "is not an address" in row.reason
    assert table.addresses == [("10.0.0.1", 7)]
    assert table.apply_setting(Setting("later", b"", 3)).state is SettingState.UNKNOWN
    assert [name for name in table.rows] == ["journal", "later"]


def test_settings_when_a_snapshot_comes_are_applied_where_they_changed(table):
    table.replace_all((Setting("journal", b"10.0.0.1:7", 1), Setting("later", b"1", 1)))
    table.replace_all((Setting("journal", b"10.0.0.1:7", 1),))
    table.replace_all((Setting("journal", b"10.0.0.1:8", 2),))
    assert table.addresses == [("10.0.0.1", 7), ("10.0.0.1", 8)]
    assert ("changelog_setting_removed", "later") in table.told and list(table.rows) == ["journal"]


def test_check_setting_value_when_the_name_is_known_checks_the_value():
    check_setting_value("journal", b"10.0.0.1:7")
    check_setting_value("later", b"anything")
    with pytest.raises(MalformedError, match="is not an address"):
        check_setting_value("journal", b"10.0.0.1")
