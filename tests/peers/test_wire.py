"""Tests of the wire format of datagrams between peers."""

from dataclasses import replace

import pytest

from tests.support.peers import roster_entries
from wickhinge.common.sealing import MAX_DATAGRAM_BYTES, DatagramError
from wickhinge.peers import wire
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.messages import Belief, Gossip, MemberState, Message, MessageKind
from wickhinge.peers.roster import Roster
from wickhinge.routing.random_source import RandomSource

KEY = b"k" * 32
# A datagram that version 0.2.0 wrote under the key KEY; every version must read and write the same bytes.
STORED_DATAGRAM = bytes.fromhex(
    "5750319fa26e31a26e3003cf2000000000000000110509cf80000000000000070294012c0002020ca26e329295a26e320105"
    "000395a26e3302060101c4036162636651844d693414b99ab8946300b4924b"
)


def sample_message():
    """Return a message that a failure detector sent."""
    sent = []
    detector = FailureDetector(Roster(roster_entries(3), "n0"), RandomSource(4), 0.0, sent.append)
    detector.tick(1.0)
    return sent[0]


def test_decode_when_any_byte_is_changed_or_missing_raises_datagram_error():
    message = replace(sample_message(), gossip=(Gossip("n2", 1, 5, 0, 1),), piggyback=b"abc")
    data = wire.encode(KEY, message)
    assert wire.decode(KEY, data) == message
    for index in range(len(data)):
        with pytest.raises(DatagramError):
            wire.decode(KEY, data[:index] + bytes([data[index] ^ 1]) + data[index + 1 :])
        with pytest.raises(DatagramError):
            wire.decode(KEY, data[:index])
    with pytest.raises(DatagramError):
        wire.decode(b"x" * 32, data)


def test_encode_when_gossip_exceeds_the_datagram_leaves_out_piggyback_and_gossip_until_it_fits():
    gossip = tuple(("n" * 60 + str(index), 1 << 40, 1 << 62, 1 << 40, 3) for index in range(10, 18))
    data = wire.encode(KEY, replace(sample_message(), gossip=gossip * 3, piggyback=b"x" * 900))
    assert len(data) <= MAX_DATAGRAM_BYTES and len(wire.decode(KEY, data).gossip) >= 8


def test_a_datagram_when_written_by_version_0_2_is_decoded_and_encoded_unchanged():
    message = Message(
        receiver="n1",
        sender="n0",
        epoch=3,
        incarnation=1 << 61,
        counter=17,
        token=5,
        echo=9,
        roster_version=(1 << 63) + 7,
        refutations=2,
        belief=Belief(1, 44, 0, MemberState.SUSPECT),
        kind=MessageKind.INDIRECT_PING,
        probe_id=12,
        probe_target="n2",
        gossip=(Gossip("n2", 1, 5, 0, MemberState.GONE), Gossip("n3", 2, 6, 1, MemberState.ALIVE)),
        piggyback=b"abc",
    )
    assert wire.decode(KEY, STORED_DATAGRAM) == message
    assert wire.encode(KEY, message) == STORED_DATAGRAM
