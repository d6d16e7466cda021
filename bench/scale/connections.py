"""Connections to caches, their descriptors, and log lines, of one router."""

from __future__ import annotations

import os
from types import SimpleNamespace
from typing import Any

from bench.scale.meter import Meter, memory_bytes
from bench.scale.records import Row, row
from wickhinge.net.downstream import descriptors
from wickhinge.net.runtime.buffers import BufferPool
from wickhinge.net.runtime.log import MAX_QUEUED_LINES, Log
from wickhinge.net.upstream.connection_pools import MAX_CONNECTIONS_PER_SERVER, UpstreamConnection

POOL = 1 << 20  # bytes, of a router's pool of buffers
LINE_OF_LOG = {"machine": "s-00c41f7a", "verdict": "lost", "witnesses": 3}


def lines(caches: int) -> list[Any]:
    """As many connections as a router may hold to so many caches, without their sockets."""
    owner = SimpleNamespace(
        buffer_pool=BufferPool(POOL, lambda: None, lambda: None), deadlines=SimpleNamespace(now=lambda: 0.0)
    )
    machine = SimpleNamespace(pools=owner)
    return [UpstreamConnection(machine) for _ in range(MAX_CONNECTIONS_PER_SERVER * caches)]


def descriptors_needed(caches: int) -> float:
    """The limit of descriptors at which each cache may have all of its connections."""
    return descriptors.LIMIT_PER_UPSTREAM_DESCRIPTOR * MAX_CONNECTIONS_PER_SERVER * caches


def connections(meter: Meter) -> list[Row]:
    caches = meter.sizes(5, 14, 60, 200, 710)
    held = [memory_bytes(lambda size=size: lines(size)) for size in caches]
    state = [float(MAX_CONNECTIONS_PER_SERVER * size) for size in caches]
    needed = [float(descriptors_needed(size)) for size in caches]
    return [
        row("connections", "router", "memory", "caches of a zone", caches, held, "B", "virtual", "tracemalloc of Line"),
        row(
            "connections",
            "router",
            "state",
            "caches of a zone",
            caches,
            state,
            "connections",
            "computed",
            f"at most {MAX_CONNECTIONS_PER_SERVER} a cache",
        ),
        row(
            "descriptors",
            "router",
            "state",
            "caches of a zone",
            caches,
            needed,
            "descriptors",
            "computed",
            "descriptors.descriptor_limits: a third is for machines",
        ),
    ]


def unread(count: int) -> Log:
    """A log whose reader stands still, after so many lines."""
    reader, writer = os.pipe()
    log = Log(writer, "router-0001", lambda: 1.7e9)
    os.close(reader)
    log.flush = lambda: None
    for _ in range(count):
        log.event("told", **LINE_OF_LOG)
    os.close(writer)
    return log


def log_lines(meter: Meter) -> list[Row]:
    sizes = meter.sizes(250, 500, 1000, 2000, 4000)
    with open(os.devnull, "wb", buffering=0) as nowhere:
        log = Log(nowhere.fileno(), "router-0001", lambda: 1.7e9)

        def write(count: int) -> None:
            for _ in range(count):
                log.event("told", **LINE_OF_LOG)

        cpu = [meter.cpu_s_per_call(lambda size=size: write(size), 1) for size in sizes]
    length = len(unread(1).lines[0])
    sent = [float(length * size) for size in sizes]
    held = [memory_bytes(lambda size=size: unread(size)) for size in sizes]
    return [
        row("log", "router", "cpu", "lines/s", sizes, cpu, "core", "virtual", "thread CPU, written to /dev/null"),
        row("log", "router", "bytes", "lines/s", sizes, sent, "B/s", "virtual", "lines of told"),
        row(
            "log",
            "router",
            "memory",
            "lines unread",
            sizes,
            held,
            "B",
            "virtual",
            f"tracemalloc; {MAX_QUEUED_LINES} lines are kept at most",
        ),
    ]


def rows(meter: Meter) -> list[Row]:
    return [*connections(meter), *log_lines(meter)]
