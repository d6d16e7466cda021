"""The watch of the discovery service, without a socket."""

from types import SimpleNamespace

import pytest

from wickhinge.net.control.endpoint_watch import (
    FRAME_HEADER,
    MAX_READS_PER_CALL,
    EndpointWatch,
    FrameDecoder,
    WatchSettings,
)


class ShortReads:
    """A socket that gives a few bytes a read, as recv(2) may."""

    def __init__(self, data, size):
        self.data, self.size = data, size

    def recv(self, _size):
        if not self.data:
            raise BlockingIOError
        piece, self.data = self.data[: self.size], self.data[self.size :]
        return piece


@pytest.mark.parametrize("size, is_read_at_once", [(64, True), (1, False)])
def test_what_is_pending_counts_as_read_only_when_all_of_it_is(size, is_read_at_once):
    """A process that stood still decides by the list only when the list is read to its end."""
    purged, now = [], [100.0]
    listener = SimpleNamespace(purged=lambda key, group, stamp: purged.append(key))
    deadlines = SimpleNamespace(now=lambda: now[0], call_after=lambda *_: None)
    watch = EndpointWatch(None, deadlines, WatchSettings(("127.0.0.1", 9), 0, 1.0), listener, lambda *_, **fields: None)
    frames = b"".join(FRAME_HEADER.pack(25, number, 3) + bytes(16) for number in (1, 2))
    assert len(frames) > MAX_READS_PER_CALL
    handle = ShortReads(frames, size)
    watch.connection = SimpleNamespace(
        transport=SimpleNamespace(getHandle=lambda: handle), decoder=FrameDecoder(), connect_round=0
    )
    watch.read_pending()
    assert (watch.last_read_pending_at == 100.0) is is_read_at_once
    now[0] = 100.5
    watch.read_pending()
    assert watch.last_read_pending_at == 100.5 and len(purged) == 2
