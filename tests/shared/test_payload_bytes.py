"""The bytes that routers of one release send each other are those of the release before."""

from wickhinge.shared import lending_payload, request_tallies, verdicts
from wickhinge.shared.lending_payload import LendingMessage, Level, LoanAmount, LoanReturn
from wickhinge.shared.request_tallies import Tally
from wickhinge.shared.verdicts import Health, Verdict

LENDING = bytes.fromhex(
    "98920a0ccb4045000000000000cb4044c00000000000c39192cb3fb999999999999acb0000000000000000"
    "91930007cb3fd000000000000091930008cb3fc000000000000091920009"
)
VERDICTS = bytes.fromhex(
    "93940102cb0000000000000000cb3fd000000000000094ce8000000001cb3fe0000000000000cb3ff8000000000000"
    "940303cb4028000000000000cb0000000000000000"
)
TALLIES = bytes.fromhex("9197a27231030546cb0000000000000000ce80000000930001cd012c")


def test_lending_payload_when_packed_and_read_is_unchanged():
    message = LendingMessage(
        (10, 12),
        42.0,
        41.5,
        True,
        [Level(0.1, 0.0)],
        [LoanAmount(0, 7, 0.25)],
        [LoanAmount(0, 8, 0.125)],
        [LoanReturn(0, 9)],
    )
    assert lending_payload.encode(message) == LENDING
    assert lending_payload.decode(LENDING) == message


def test_verdicts_payload_when_packed_and_read_is_unchanged():
    told = [
        Verdict(1, Health.UNREACHABLE, 0.0, 0.25),
        Verdict(1 << 31, Health.SLOW, 0.5, 1.5),
        Verdict(3, Health.RESTARTED, 12.0, 0.0),
    ]
    assert verdicts.encode(told) == VERDICTS
    assert verdicts.decode(VERDICTS) == told


def test_tallies_payload_when_packed_and_read_is_unchanged():
    tallies = [Tally("r1", 3, 5, 70, 0.0, 1 << 31, [0, 1, 300])]
    assert request_tallies.encoder.encode(tallies) == TALLIES
    assert request_tallies.decode(TALLIES) == tallies
    assert request_tallies.hash_server_ids([1, 2, 1 << 31]) == 0xF77C57
