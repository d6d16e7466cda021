"""The client of the discovery service, tested without a socket."""

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
    """Socket that returns at most `size` bytes for each read, as recv(2) may."""

    def __init__(self, data, size):
        self.data, self.size = data, size

    def recv(self, _size):
        if not self.data:
            raise BlockingIOError
        piece, self.data = self.data[: self.size], self.data[self.size :]
        return piece


@pytest.mark.parametrize("size, is_emptied_by_one_call", [(64, True), (1, False)])
def test_read_pending_when_it_does_not_empty_the_socket_does_not_update_its_time(size, is_emptied_by_one_call):
    """After a stall, a router may decide by its endpoint list only once it has read all pending events."""
    purged_keys, now = [], [100.0]
    listener = SimpleNamespace(purged=lambda key, group, stamp: purged_keys.append(key))
    deadlines = SimpleNamespace(now=lambda: now[0], call_after=lambda *_: None)
    watch = EndpointWatch(None, deadlines, WatchSettings(("127.0.0.1", 9), 0, 1.0), listener, lambda *_, **fields: None)
    frames = b"".join(FRAME_HEADER.pack(25, number, 3) + bytes(16) for number in (1, 2))
    assert len(frames) > MAX_READS_PER_CALL
    handle = ShortReads(frames, size)
    watch.connection = SimpleNamespace(
        transport=SimpleNamespace(getHandle=lambda: handle), decoder=FrameDecoder(), connect_round=0
    )
    watch.read_pending()
    assert (watch.last_read_pending_at == 100.0) is is_emptied_by_one_call
    now[0] = 100.5
    watch.read_pending()
    assert watch.last_read_pending_at == 100.5 and len(purged_keys) == 2
