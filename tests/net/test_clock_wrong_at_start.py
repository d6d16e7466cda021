"""The router's wall clock is off by an hour, or by some seconds, when it starts; the others' clocks are right."""

import time

import pytest

from tests.support.processes import PATIENT
from wickhinge.net.control import endpoint_watch

HOUR = 3600.0
OFF = [-HOUR, -3.0, 0.0, 3.0, HOUR]
KEY = 0xAA
LEAST = 1  # milliseconds: 0 would lift the limit
COLD = 1.0  # seconds in which an attempt would have come to a server that is taken for warm
KINDS = ("box", "parent", "origin")
SERVED_NOW = "etag=00000000000000aa,made={}"


def unix_ms():
    return int(time.time() * 1000)


def purge(made, key=KEY):
    """Tells of a purge, by default of the object that clients ask for; its time of day by the right clock."""
    stamp = unix_ms()
    made.send_event(endpoint_watch.FrameKind.OBJECT_PURGED, endpoint_watch.OBJECT_PURGE.pack(key, stamp))
    made.router.wait('"event":"purge_applied"')
    return stamp


def ask(made, client, line, block):
    client.ask("pages", block=str(block))
    asked = line.next_request()
    asked.answer("OK", SERVED_NOW.format(unix_ms()), b"x")
    return asked.fields


@pytest.mark.parametrize("off", OFF)
@pytest.mark.parametrize("told_by", ["service", "configuration"])
def test_no_copy_older_than_a_purge_is_asked_for(faulty_stand, told_by, off):
    """The configuration's was told a second before the start."""
    stamp = unix_ms() - 1000
    known = [{"pos": 1, "expire": {"name": f"{KEY:016x}", "stamp": stamp}}] if told_by == "configuration" else []
    made, _ = faulty_stand(prepare=lambda shim: shim.step_wall_clock(off), known=known)
    client = made.client()
    if told_by == "service":
        stamp = purge(made)
    client.ask("pages", block="7")
    line = made.accept_connection(0)
    asked = line.next_request()
    assert int(asked.fields["maxage"]) <= unix_ms() - stamp + LEAST
    asked.answer("OK", SERVED_NOW.format(unix_ms()), b"x")
    client.answer(client.calls)
    for turn in range(3):
        fields = ask(made, client, line, turn)
        assert int(fields["maxage"]) <= unix_ms() - stamp + LEAST
        time.sleep(0.3)


@pytest.mark.parametrize("off", OFF)
def test_a_purge_is_over_when_it_is_done_everywhere(faulty_stand, off):
    """Once answers have shown what time it is, at the latest."""
    made, _ = faulty_stand(
        prepare=lambda shim: shim.step_wall_clock(off),
        change=lambda conf: conf["familyInfo"].update(goneEverywhereMs=500),
    )
    client = made.client()
    client.ask("pages", block="7")
    line = made.accept_connection(0)
    line.next_request().answer("OK", SERVED_NOW.format(unix_ms()), b"x")
    client.answer(client.calls)
    purge(made)
    time.sleep(3.0)  # 0.5, and 2.0 that a parent may take
    assert "maxage" not in ask(made, client, line, 1)


def records(places, started):
    """All machines as the discovery service names them; the first was started then."""
    return b"".join(
        endpoint_watch.ENDPOINT_RECORD.pack(
            0xA1 + place,
            0x7F000001,
            made.getsockname()[1],
            0,
            int(kind != "box"),
            KINDS.index(kind),
            0,
            4000,
            started if place == 0 else 0,
        )
        for place, (kind, made) in enumerate(zip(("box", "origin"), places, strict=True))
    )


@pytest.mark.parametrize("off", OFF)
@pytest.mark.parametrize("age", [0.5, 60.0])
def test_a_server_is_as_cold_as_it_is(faulty_stand, age, off):
    """Whatever goes to one that started just now is a fill, since a look would miss, and only as its share allows. One
    that started long ago is looked at as ever, once an answer has shown what time it is; to a clock that is behind, the
    service has to: an answer's time may be spoilt.
    """
    made, _ = faulty_stand(prepare=lambda shim: shim.step_wall_clock(off))
    made.send_event(endpoint_watch.FrameKind.ALL_ENDPOINTS, records(made.listeners, unix_ms() - int(age * 1000)))
    made.router.wait('"event":"endpoints_updated"')
    client = made.client()
    client.ask("pages", block="7")
    made.listeners[0].settimeout(COLD)
    try:
        line = made.accept_connection(0)
        first = line.next_request(COLD)
    except TimeoutError:
        first = None
    if age < 1.0:
        assert first is None or "src" in first.fields
        return
    if first is None:  # its first share is not earned yet: the source is asked in its place
        line = made.accept_connection(1)
        first = line.next_request()
    first.answer("OK", SERVED_NOW.format(unix_ms()), b"x")
    client.answer(client.calls)
    if off < 0:
        purge(made, KEY + 1)
    made.listeners[0].settimeout(PATIENT)
    client.ask("pages", block="1")
    asked = (made.accept_connection(0) if line.place == 1 else line).next_request()
    assert "src" not in asked.fields
