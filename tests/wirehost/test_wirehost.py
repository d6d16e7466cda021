import io
import json

import pytest

from wickhinge.fields import MalformedError
from wickhinge.wirehost.host import HostedRouter, run

CLASS = {"name": "t", "effect": "pure", "onTimeMs": 600, "aimStretch": 1.6, "hardLimitMs": 5000, "importance": 2}
CONF = {
    "classes": [CLASS],
    "zones": ["here"],
    "shapes": ["box", "parent", "origin"],
    "locality": "here",
    "weights": "nominal",
    "discovery": "push",
    "unheard": {},
    "rules": {"fallMultiple": 4, "fallMs": 1000, "coldFrom": 0.2, "coldMs": 10000},
    "limits": {
        "retryAfter": True,
        "maxRetryAfterMs": 500,
        "mostTries": 6,
        "mayDuplicate": True,
        "cancel": True,
        "probes": True,
    },
    "stats": {"how": "on_probe"},
    "familyInfo": {
        "maxAgeMs": [0],
        "staleForMs": [0],
        "worthWhenOld": [0.7],
        "multiPart": [True],
        "passOn": [False],
        "attachedTo": [0],
        "zoneBalancers": [1],
        "upperFallMultiple": 2,
        "parentFloor": 0.1,
        "parentWarmsInMs": 9000,
        "shieldKind": 1,
        "sourceKind": 2,
        "goneEverywhereMs": 6000,
        "joins": False,
        "passThroughOk": True,
        "oneFlowKbPerS": 1000,
    },
}
BOX = {
    "cache": 7,
    "campus": "here",
    "familyType": "box",
    "cluster": 0,
    "availability": "U",
    "share": 9,
    "readyAtMs": None,
}
START = [
    ("PowerOn", {"router": 0, "initSeed": 1, "conf": CONF}),
    ("Announce", {"router": 0, "kind": "warm_copy", "serial": 1, "hosts": [BOX]}),
]
VISIT = (
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
TIMED = (
    "Resolved",
    {"router": 0, "ref": "a", "sendNo": 0, "cache": 7, "disposition": 40, "timeTakenMs": 5000.0, "doneFlag": True},
)


def play(*batches):
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


def test_a_visit_goes_out_with_its_ref_in_milliseconds_and_comes_back():
    replies = play(START, [VISIT], [TIMED])
    sent = next(reply["PullVia"] for reply in replies if "PullVia" in reply)
    assert (sent["ref"], sent["cache"], sent["source"]) == ("a", 7, 7)
    assert sent["tryForMs"] == pytest.approx(5000.0) and "howOldMs" not in sent
    assert not any("Refuse" in reply for reply in replies) and replies[-1] == {"Finished": {}}


def test_a_purge_by_group_reaches_the_wire_as_an_age():
    purge = ("ExpiredNow", {"router": 0, "contentId": None, "setNo": 1, "howOldMs": 100.0})
    sent = next(reply["PullVia"] for reply in play(START, [purge, VISIT]) if "PullVia" in reply)
    assert sent["howOldMs"] == pytest.approx(99.0)


def test_kill_and_start_in_one_batch_forget_all():
    late = [("Gone", {"router": 0, "ref": "a"}), ("Ring", {"router": 0, "handle": 99999})]
    replies = play(START, [VISIT], [("Kill", {"router": 0}), *START, *late])
    assert not any("Broken" in reply for reply in replies)


@pytest.mark.parametrize(
    "name, change, told",
    [
        ("Inbound", {"kind": None}, "Inbound: field kind is missing"),
        ("Inbound", {"chunk": "x"}, "Inbound: field chunk is not a whole number"),
        ("Inbound", {"contentId": "zz"}, "Inbound: field contentId is not hex digits"),
        ("Strange", {}, "Strange: unknown message"),
        ("Inbound", {"router": 5}, "Inbound: field router names no running instance"),
    ],
)
def test_bad_input_gets_a_plain_message(name, change, told):
    replies = play(START, [(name, {**VISIT[1], **change})])
    assert [reply["Broken"]["line"] for reply in replies if "Broken" in reply] == [told]


@pytest.mark.parametrize(
    "part, key", [(None, "locality"), ("rules", "fallMultiple"), ("limits", "mostTries"), ("familyInfo", "joins")]
)
def test_a_missing_setting_is_named_at_start(part, key):
    conf = json.loads(json.dumps(CONF))
    del (conf[part] if part else conf)[key]
    replies = play([("PowerOn", {"router": 0, "initSeed": 1, "conf": conf})])
    assert any(key in reply["Broken"]["line"] for reply in replies if "Broken" in reply)


@pytest.mark.parametrize("event", [TIMED, ("Gone", {"router": 0, "ref": "a"})])
@pytest.mark.parametrize("patience, sent", [(5000, True), (1, False)])
def test_a_visit_that_is_over_leaves_nothing_behind(patience, sent, event):
    hosted = HostedRouter(0, [])
    hosted.power_on(*START[0], 1.0)
    hosted.announce(*START[1], 1.0)
    hosted.inbound("Inbound", {**VISIT[1], "expiresInMs": patience}, 1.0)
    assert bool(hosted.requests) is sent
    (hosted.resolved if event is TIMED else hosted.gone)(*event, 1.1)
    hosted.resolved(*TIMED, 1.2)
    assert not hosted.requests


def test_calls_the_module_does_not_make_yet_have_their_actions():
    replies = []
    hosted = HostedRouter(3, replies)
    hosted.fetch_endpoints()
    hosted.gossip(-1, b"hi 7")
    assert [json.loads(line) for line in replies] == [
        {"ReadList": {"router": 3}},
        {"Say": {"to": -1, "content": "aGkgNw==", "router": 3}},
    ]


def test_what_is_not_json_ends_the_run_with_a_message():
    with pytest.raises(MalformedError, match="not JSON"):
        run(io.BytesIO(b"nonsense\n"), io.BytesIO())
