"""The simulator adapter: messages of its protocol become calls of a router, and decisions become actions."""

import io
import json

import pytest

from bench.simulator_day import SETTINGS, list_entry
from wickhinge.fields import MalformedError
from wickhinge.wirehost.host import HostedRouter, run

START_MESSAGES = [
    ("PowerOn", {"router": 0, "initSeed": 1, "conf": SETTINGS}),
    ("Announce", {"router": 0, "kind": "warm_copy", "serial": 1, "hosts": [list_entry(7)]}),
]
REQUEST_MESSAGE = (
    "Inbound",
    {
        "router": 0,
        "ref": "a",
        "batchId": 1,
        "kind": "t",
        "contentId": "1f",
        "tenant": None,
        "update": False,
        "expiresInMs": 5000,
        "repeat": False,
        "chunk": 0,
        "lengthKb": 10,
    },
)
TIMEOUT_MESSAGE = (
    "Resolved",
    {"router": 0, "ref": "a", "sendNo": 0, "cache": 7, "disposition": 40, "timeTakenMs": 5000.0, "doneFlag": True},
)


def run_batches(*batches):
    """Run batches of messages, and return the replies. The batches are one millisecond apart, from 1 s."""
    lines = []
    for now, batch in enumerate(batches):
        lines += [
            {"Batch": {"timeMs": 1000.0 + now}},
            *({name: fields} for name, fields in batch),
            {"Go": {}},
        ]
    sink = io.BytesIO()
    run(io.BytesIO(b"".join(json.dumps(line).encode() + b"\n" for line in lines)), sink)
    return [json.loads(line) for line in sink.getvalue().splitlines()]


def test_request_is_sent_with_its_reference_and_timeout_and_its_answer_is_accepted():
    replies = run_batches(START_MESSAGES, [REQUEST_MESSAGE], [TIMEOUT_MESSAGE])
    sent = next(reply["PullVia"] for reply in replies if "PullVia" in reply)
    assert (sent["ref"], sent["cache"], sent["source"]) == ("a", 7, 7)
    assert sent["tryForMs"] == pytest.approx(5000.0) and "howOldMs" not in sent
    assert not any("Refuse" in reply for reply in replies) and replies[-1] == {"Finished": {}}


def test_attempt_after_the_purge_of_its_group_has_the_maximum_age_of_a_copy():
    purge = ("ExpiredNow", {"router": 0, "contentId": None, "setNo": 1, "howOldMs": 100.0})
    sent = next(
        reply["PullVia"] for reply in run_batches(START_MESSAGES, [purge, REQUEST_MESSAGE]) if "PullVia" in reply
    )
    assert sent["howOldMs"] == pytest.approx(99.0)


def test_router_that_is_killed_and_started_in_one_batch_ignores_messages_about_earlier_requests():
    outdated = [("Gone", {"router": 0, "ref": "a"}), ("Ring", {"router": 0, "handle": 99999})]
    replies = run_batches(START_MESSAGES, [REQUEST_MESSAGE], [("Kill", {"router": 0}), *START_MESSAGES, *outdated])
    assert not any("Broken" in reply for reply in replies)


@pytest.mark.parametrize(
    "name, change, expected",
    [
        ("Inbound", {"kind": None}, "Inbound: field kind is missing"),
        ("Inbound", {"chunk": "x"}, "Inbound: field chunk is not a whole number"),
        ("Inbound", {"contentId": "zz"}, "Inbound: field contentId is not hex digits"),
        ("Strange", {}, "Strange: unknown message"),
        ("Inbound", {"router": 5}, "Inbound: field router names no running instance"),
    ],
)
def test_malformed_message_is_answered_with_its_error(name, change, expected):
    replies = run_batches(START_MESSAGES, [(name, {**REQUEST_MESSAGE[1], **change})])
    assert [reply["Broken"]["line"] for reply in replies if "Broken" in reply] == [expected]


@pytest.mark.parametrize(
    "section, key", [(None, "locality"), ("rules", "fallMultiple"), ("limits", "mostTries"), ("familyInfo", "joins")]
)
def test_start_with_a_missing_setting_is_answered_with_the_name_of_the_setting(section, key):
    conf = json.loads(json.dumps(SETTINGS))
    del (conf[section] if section else conf)[key]
    replies = run_batches([("PowerOn", {"router": 0, "initSeed": 1, "conf": conf})])
    assert any(key in reply["Broken"]["line"] for reply in replies if "Broken" in reply)


@pytest.mark.parametrize("key", ["maxAgeMs", "staleForMs", "worthWhenOld"])
@pytest.mark.parametrize("value", [None, "x", [1]])
def test_start_with_a_value_of_another_type_for_a_class_is_refused_and_the_other_routers_run_on(key, value):
    conf = {**SETTINGS, "familyInfo": {**SETTINGS["familyInfo"], key: [value]}}
    refused_start = ("PowerOn", {"router": 1, "initSeed": 1, "conf": conf})
    replies = run_batches(START_MESSAGES, [refused_start, REQUEST_MESSAGE])
    assert [key in reply["Broken"]["line"] for reply in replies if "Broken" in reply] == [True]
    assert any("PullVia" in reply for reply in replies)


@pytest.mark.parametrize("event", [TIMEOUT_MESSAGE, ("Gone", {"router": 0, "ref": "a"})])
@pytest.mark.parametrize("expires_in_ms, is_sent", [(5000, True), (1, False)])
def test_request_when_it_and_its_attempts_have_ended_is_forgotten(expires_in_ms, is_sent, event):
    hosted = HostedRouter(0, [])
    hosted.handle_power_on(*START_MESSAGES[0], 1.0)
    hosted.handle_announce(*START_MESSAGES[1], 1.0)
    hosted.handle_inbound("Inbound", {**REQUEST_MESSAGE[1], "expiresInMs": expires_in_ms}, 1.0)
    assert bool(hosted.requests) is is_sent
    (hosted.handle_resolved if event is TIMEOUT_MESSAGE else hosted.handle_gone)(*event, 1.1)
    hosted.handle_resolved(*TIMEOUT_MESSAGE, 1.2)
    assert not hosted.requests


def test_operations_that_routers_do_not_use_yet_are_encoded_as_actions():
    replies = []
    hosted = HostedRouter(3, replies)
    hosted.fetch_endpoints()
    hosted.gossip(-1, b"hi 7")
    assert [json.loads(line) for line in replies] == [
        {"ReadList": {"router": 3}},
        {"Say": {"to": -1, "content": "aGkgNw==", "router": 3}},
    ]


def test_line_that_is_not_json_ends_the_run_with_an_error():
    with pytest.raises(MalformedError, match="not JSON"):
        run(io.BytesIO(b"nonsense\n"), io.BytesIO())
