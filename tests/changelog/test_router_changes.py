"""The change log: what a router does with the changes that it follows."""

from types import SimpleNamespace

import msgspec
import pytest

from tests.support.changelog_endpoints import (
    ON,
    entry,
)
from tests.support.changelog_log import KEY
from wickhinge.changelog.effects import Apply, Reset
from wickhinge.changelog.entries import Noop, Purge, Setting, Unknown
from wickhinge.changelog.log import Snapshot
from wickhinge.fields import MalformedError
from wickhinge.net.control.changelog_client import ChangelogClient
from wickhinge.net.upstream.local_copies import LocalCopies
from wickhinge.options.load import parse_options
from wickhinge.routing.purges import Purges


@pytest.fixture
def changes(sockets, tmp_path):
    (tmp_path / "key").write_bytes(KEY)
    options = parse_options(ON.replace("/k", str(tmp_path / "key")) + "}", "x").changelog
    told = []
    store = SimpleNamespace(
        record_request=None, find=None, is_valid=None, is_current=lambda copy, now: copy.created > 0
    )
    node = SimpleNamespace(
        reactor=sockets,
        deadlines=SimpleNamespace(call_after=sockets.callLater),
        log=SimpleNamespace(event=lambda event, **fields: told.append(event)),
        decisions=SimpleNamespace(purges=Purges(6.0)),
        local_copies=LocalCopies(
            store, None, None, None, 0.1, None, SimpleNamespace(earliest_local_time=lambda made, now: made)
        ),
        attempts=SimpleNamespace(recall_unwritten=lambda holds: told.append(holds)),
        move_endpoint_watch=lambda address: told.append(address),
        updates=SimpleNamespace(
            purge=lambda *given: told.append(given), record_purge=lambda *given: told.append(given)
        ),
    )
    made = ChangelogClient(options, "n1", node)
    made.node, made.told, made.options = node, told, options
    return made


def test_own_copies_when_over_the_limit_are_not_current(changes):
    young, old, unproven = (SimpleNamespace(created=created) for created in (999.0, 990.0, 0.0))
    is_current = changes.node.local_copies.is_current
    assert [is_current(copy, 1000.0) for copy in (young, old, unproven)] == [True, False, False]
    changes.follower.max_copy_age_s = lambda grace: None
    assert [is_current(copy, 1000.0) for copy in (young, old, unproven)] == [True, True, False]


def test_limit_when_the_time_of_day_differs_is_the_same(changes):
    purges = changes.node.decisions.purges
    assert purges.max_age(1, 0, 0.0) == purges.max_age(1, 0, 2e9) == pytest.approx(0.94 * 6 - 0.001)


def test_changes_when_applied_go_where_they_belong_and_others_nowhere(changes):
    for number, change in enumerate(
        (Noop(), Purge(7, 3, 5), Setting("journal", b"10.0.0.1:7", 1), Unknown(20, False, b""))
    ):
        changes.follower.perform_role_effect(Apply(entry(number + 1, change)))
    assert changes.told == [(7, 3, 5, 0), ("10.0.0.1", 7), "changelog_setting"]


def test_snapshot_when_loaded_takes_purges_together_and_overtakes_waiting_forwards(changes):
    changes.follower.perform_role_effect(Reset(Snapshot(1, 9, b"d" * 8, (), (Purge(7, 3, 5), Purge(None, 4, 6)))))
    assert changes.told[:2] == [(7, 3, 5, 0), (None, 4, 6, 0)] and changes.told[3] == "changelog_reset"
    waiting = [
        SimpleNamespace(
            forward=SimpleNamespace(request=SimpleNamespace(object_count=SimpleNamespace(key=key), group=group))
        )
        for key, group in ((7, 0), (8, 4), (8, 3))
    ]
    assert [changes.told[2](sent) for sent in waiting] == [False, False, True]


def test_waiting_forwards_when_ages_become_limited_are_decided_anew(changes):
    changes.follower.max_copy_age_s = lambda grace: None
    changes.follower.after_tick()
    changes.told.clear()
    changes.follower.max_copy_age_s = lambda grace: 5.0
    changes.follower.after_tick()
    changes.follower.after_tick()
    holds, event = changes.told
    assert event == "changelog_uninformed"
    assert not holds(
        SimpleNamespace(forward=SimpleNamespace(request=SimpleNamespace(request_class=SimpleNamespace(pass_through=0))))
    )


def test_reload_when_anything_but_keys_changed_is_refused(changes):
    assert changes.keys_in(changes.options) == [KEY]
    with pytest.raises(MalformedError, match="changelog.grace_s: changes at a restart only"):
        changes.keys_in(msgspec.structs.replace(changes.options, grace_s=9.0))
    with pytest.raises(MalformedError, match="changelog.key_file: /nowhere can't be read"):
        changes.keys_in(msgspec.structs.replace(changes.options, key_file="/nowhere"))
