"""Section `changelog` of the settings file."""

import pytest

from tests.support.changelog_endpoints import (
    ENABLED_OPTIONS,
)
from wickhinge.options import OptionsError
from wickhinge.options.load import parse_options


@pytest.mark.parametrize(
    "text, message",
    [
        ('changelog: mode: "on"', "x: changelog.key_file: is missing"),
        ('changelog: {mode: "on", key_file: "/k"}', "x: changelog.relays: is empty"),
        (ENABLED_OPTIONS + ", grace_s: 3.7}", "x: changelog.grace_s: 3.7 is under 3.83"),
        (ENABLED_OPTIONS + ', bind: "here"}', "x: changelog.bind: 'here' is not an address"),
        ('changelog: relays: [{name: "l", address: "x"}]', "x: changelog.relays[0].address: 'x' is not an address"),
        (
            'changelog: replicas: [{name: "r", address: "10.0.0.1:7"}, {name: "r", address: "10.0.0.2:7"}]',
            "x: changelog.replicas[1].name: 'r' stands twice",
        ),
        (f'changelog: relays: [{{name: "{"l" * 33}", address: "10.0.0.1:7"}}]', "relays[0].name: "),
        (
            ENABLED_OPTIONS + ', replicas: [{name: "l", address: "10.0.0.2:7"}]}',
            "x: changelog.relays: l is a replica's name, too",
        ),
        ("changelog: bound_s: 0.1", "changelog.bound_s: 0.1 is not >= 0.5"),
    ],
)
def test_settings_file_when_invalid_names_the_key(text, message):
    with pytest.raises(OptionsError) as caught:
        parse_options(text, "x")
    assert message in str(caught.value)


def test_settings_file_when_read_returns_its_values_and_is_off_by_default():
    assert parse_options("", "x").changelog.mode == "off"
    options = parse_options(ENABLED_OPTIONS + "}", "x").changelog
    assert (options.mode, options.bound_s, options.grace_s, options.relays[0].name) == ("on", 3.1, 6, "l")
