"""Logs and process contexts for the tests of the change log."""

import msgspec

from wickhinge.changelog.context import ProcessContext
from wickhinge.changelog.entries import Entry, Purge
from wickhinge.changelog.log import EMPTY_SNAPSHOT, Log

KEY = b"k" * 32


def context(name):
    return ProcessContext(name, session=7, random_fraction=lambda: 0.5)


def purge(key, stamp_ms=1_700_000_000_000):
    return Purge(key, 0, stamp_ms)


def log_of(count, retain=100, epoch=1):
    """Return a log of `count` purges, whose keys are the entries' numbers, of which the last `retain` are retained."""
    log = Log(retain, purge_horizon_s=30.0)
    log.load(msgspec.structs.replace(EMPTY_SNAPSHOT, epoch=epoch), 0.0)
    for number in range(1, count + 1):
        log.append(Entry(epoch, number, purge(number)), float(number))
    return log
