"""One HTML file that stands alone: what was played, what came of it, and two pictures."""

from __future__ import annotations

import base64
import html
import io
from math import ceil
from typing import Any

import matplotlib
import numpy as np

from wickhinge.lab.scenario import Scenario

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402 - the backend first

COLOURS = {"honoured": "#3b7d4f", "late": "#d9a441", "denied": "#b5483a", "abandoned": "#5a4a78"}
STYLE = (
    "body{font:15px/1.5 sans-serif;max-width:60em;margin:2em auto;color:#222}table{border-collapse:collapse}"
    "td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ddd}img{max-width:100%}.bad{color:#b5483a}"
)


def png(figure: Any) -> bytes:
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=90, bbox_inches="tight")
    plt.close(figure)
    return out.getvalue()


def over_time(scenario: Scenario, rows: list[tuple[Any, ...]]) -> bytes:
    """Answers a second by word, and the share of hits; failures shaded."""
    seconds = ceil(scenario.seconds)
    figure, (upper, lower) = plt.subplots(2, 1, figsize=(9, 5), sharex=True, height_ratios=(2, 1))
    base = np.zeros(seconds)
    for word, colour in COLOURS.items():
        counts = np.bincount([int(row[1]) for row in rows if row[6] == word], minlength=seconds)[:seconds]
        upper.bar(np.arange(seconds) + 0.5, counts, 1.0, base, color=colour, label=word, zorder=2)
        base += counts
    served = [row for row in rows if row[6] in ("honoured", "late") and row[3] == "clips"]
    total = np.bincount([int(row[1]) for row in served], minlength=seconds)[:seconds]
    hits = np.bincount([int(row[1]) for row in served if row[10]], minlength=seconds)[:seconds]
    lower.plot(np.arange(seconds) + 0.5, np.divide(hits, total, out=np.zeros(seconds), where=total > 0), color="#345")
    for axis in (upper, lower):
        for failure in scenario.failures:
            axis.axvspan(failure.at_s, failure.at_s + failure.for_s, color="#888", alpha=0.25, lw=0, zorder=0)
    for failure in scenario.failures:
        upper.annotate(failure.kind, (failure.at_s, upper.get_ylim()[1]), fontsize=7, rotation=30)
    upper.set_ylabel("visits that came, a second")
    upper.legend(loc="lower right", fontsize=8)
    lower.set_ylabel("hits, share of clips")
    lower.set_ylim(0, 1)
    lower.set_xlabel("seconds")
    return png(figure)


def latency(scenario: Scenario, rows: list[tuple[Any, ...]]) -> bytes:
    """The share of served visits that took longer, on a logarithmic scale down to one in ten thousand."""
    figure, axis = plt.subplots(figsize=(9, 3))
    for hit, colour, label in ((True, "#3b7d4f", "hits"), (False, "#345", "fills and others")):
        took = np.sort([row[7] for row in rows if row[6] in ("honoured", "late") and bool(row[10]) is hit])
        if len(took):
            axis.step(took, 1.0 - np.arange(len(took)) / len(took), where="post", color=colour, label=label)
    axis.axvline(scenario.promised_s, color="#b5483a", lw=0.8, ls="--", label="promised")
    axis.set_yscale("log")
    axis.set_ylim(1e-4, 1)
    axis.set_xlabel("seconds until the answer")
    axis.set_ylabel("share that took longer")
    axis.legend(fontsize=8)
    return png(figure)


def render_html(scenario: Scenario, result: dict[str, Any], rows: list[tuple[Any, ...]], scenario_text: str) -> str:
    pictures = [
        ("Visits by what became of them; failures are shaded", over_time(scenario, rows)),
        ("How long served visits took", latency(scenario, rows)),
    ]
    broken = result["rules_broken"]
    words = (
        "No rule was broken."
        if not broken
        else "Broken rules: " + ", ".join(f"rule {rule}, {count} times" for rule, count in broken.items())
    )
    table = "".join(
        f"<tr><th>{html.escape(name)}</th><td>{html.escape(str(value))}</td></tr>"
        for name, value in result.items()
        if name not in ("rules_broken", "first_breaks")
    )
    breaks = "".join(
        f"<li>{when} s, rule {rule}: {html.escape(what)}</li>" for when, rule, what in result["first_breaks"]
    )
    images = "".join(
        f'<h2>{title}</h2><img alt="{title}" src="data:image/png;base64,{base64.b64encode(data).decode()}">'
        for title, data in pictures
    )
    return (
        f"<!doctype html><meta charset=utf-8><title>{html.escape(scenario.name)}</title><style>{STYLE}</style>"
        f"<h1>{html.escape(scenario.name)}</h1><p>Simulated in virtual time: {scenario.routers} routers, "
        f"{scenario.caches} caches, {scenario.parents} parents, seed {scenario.seed}, policy {scenario.policy}. "
        f"<span class={'bad' if broken else 'good'}>{words}</span></p><ul>{breaks}</ul><table>{table}</table>"
        f"{images}<h2>The scenario</h2><pre>{html.escape(scenario_text)}</pre>"
    )
