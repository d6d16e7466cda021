"""A change of configuration as it goes today: the whole settings file, with the fleet's roster, to each router."""

from __future__ import annotations

from bench.scale.meter import Meter
from bench.scale.one_router import places
from bench.scale.records import Row, row
from wickhinge.options.load import parse_options

CHANGES_A_DAY = 7300
SECONDS_A_DAY = 86_400


def settings(routers: int) -> str:
    """An operators' file that holds a roster of so many."""
    lines = []
    for one in places(routers):
        number = one.address[1]
        address = f"10.0.{number >> 8}.{number & 255}:7071"
        lines.append(f'{{name: "{one.name}", address: "{address}", zone: "{one.zone}"}},')
    roster = "\n\t\t".join(lines)
    return f'peers: {{\n\tmode: "on"\n\tkey_file: "/etc/wickhinge/fleet.key"\n\troster: [\n\t\t{roster}\n\t]\n}}\n'


def rows(meter: Meter) -> list[Row]:
    sizes = meter.sizes(10, 25, 50, 100, 400, 1600)
    texts = {size: settings(size) for size in sizes}
    a_second = CHANGES_A_DAY / SECONDS_A_DAY
    parse_options(texts[sizes[0]], "settings.cue")  # the grammar is built once
    cpu = [
        a_second * meter.cpu_s_per_call(lambda size=size: parse_options(texts[size], "settings.cue"), 1)
        for size in sizes
    ]
    read = [a_second * len(texts[size]) for size in sizes]
    written = [a_second * size * len(texts[size]) for size in sizes]
    messages = [a_second * size for size in sizes]
    told = f"{CHANGES_A_DAY} changes a day, the whole file each"
    return [
        row("settings", "router", "cpu", "routers", sizes, cpu, "core", "virtual", f"thread CPU of check; {told}"),
        row("settings", "router", "bytes", "routers", sizes, read, "B/s", "virtual", told),
        row("settings", "control", "bytes", "routers", sizes, written, "B/s", "virtual", f"to all routers; {told}"),
        row("settings", "control", "messages", "routers", sizes, messages, "1/s", "virtual", f"files written; {told}"),
    ]
