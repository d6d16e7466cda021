"""Costs of a configuration change in the flat design: each router gets the whole settings file, roster included."""

from __future__ import annotations

from bench.scale.meter import Meter
from bench.scale.one_router import roster_entries
from bench.scale.records import Row, row
from wickhinge.options.load import parse_options

CHANGES_PER_DAY = 7300
DAY_S = 86_400


def settings_text(routers: int) -> str:
    """Return an operator's settings file whose roster has `routers` entries."""
    lines = []
    for entry in roster_entries(routers):
        number = entry.address[1]
        address = f"10.0.{number >> 8}.{number & 255}:7071"
        lines.append(f'{{name: "{entry.name}", address: "{address}", zone: "{entry.zone}"}},')
    roster = "\n\t\t".join(lines)
    return f'peers: {{\n\tmode: "on"\n\tkey_file: "/etc/wickhinge/fleet.key"\n\troster: [\n\t\t{roster}\n\t]\n}}\n'


def rows(meter: Meter) -> list[Row]:
    sizes = meter.sizes(10, 25, 50, 100, 400, 1600)
    texts = {size: settings_text(size) for size in sizes}
    changes_per_s = CHANGES_PER_DAY / DAY_S
    parse_options(texts[sizes[0]], "settings.cue")  # The grammar is built once, before the measurement.
    cpu = [
        changes_per_s * meter.cpu_s_per_call(lambda size=size: parse_options(texts[size], "settings.cue"), 1)
        for size in sizes
    ]
    read_bytes_per_s = [changes_per_s * len(texts[size]) for size in sizes]
    written_bytes_per_s = [changes_per_s * size * len(texts[size]) for size in sizes]
    files_per_s = [changes_per_s * size for size in sizes]
    method_text = f"{CHANGES_PER_DAY} changes a day, the whole file each"
    return [
        row(
            "settings", "router", "cpu", "routers", sizes, cpu, "core", "virtual", f"thread CPU of check; {method_text}"
        ),
        row("settings", "router", "bytes", "routers", sizes, read_bytes_per_s, "B/s", "virtual", method_text),
        row(
            "settings",
            "control",
            "bytes",
            "routers",
            sizes,
            written_bytes_per_s,
            "B/s",
            "virtual",
            f"to all routers; {method_text}",
        ),
        row(
            "settings",
            "control",
            "messages",
            "routers",
            sizes,
            files_per_s,
            "1/s",
            "virtual",
            f"files written; {method_text}",
        ),
    ]
