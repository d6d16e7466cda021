"""The change log: where processes are reached, and that replayed packets move nothing."""

import pytest

from tests.support.changelog_endpoints import (
    ELSEWHERE,
    HERE,
    THERE,
)
from wickhinge.changelog.addresses import MAX_LEARNED_ADDRESSES, SESSION_TAKEOVER_S, AddressBook
from wickhinge.changelog.echo_tokens import COUNTER_BITS


def token(session, count):
    return session << COUNTER_BITS | count


def test_address_when_in_the_settings_is_never_learned():
    book = AddressBook({"a": HERE})
    book.record_packet("a", THERE, token(1, 1), 0.0)
    assert (book.lookup("a"), book.lookup("b")) == (HERE, None)


@pytest.mark.parametrize(
    "session, count, after, found",
    [
        (1, 6, 0.1, THERE),  # the process itself moved: behind another translation of addresses
        (1, 5, 0.1, HERE),  # recorded and sent again
        (1, 4, 0.1, HERE),
        (2, 1, 0.1, HERE),  # of an earlier life
        (2, 1, SESSION_TAKEOVER_S + 0.1, THERE),  # a new life
        (1, 3, SESSION_TAKEOVER_S + 0.1, HERE),
        (1, 0, 9.0, HERE),  # no token: a plain answer
    ],
)
def test_address_when_a_recorded_packet_is_replayed_does_not_move(session, count, after, found):
    book = AddressBook({})
    book.record_packet("n", HERE, token(1, 5), 10.0)
    book.record_packet("n", THERE, token(session, count) if count else 0, 10.0 + after)
    assert book.lookup("n") == found


def test_address_when_a_new_session_comes_amid_replays_moves_to_it():
    book = AddressBook({})
    book.record_packet("n", HERE, token(1, 5), 0.0)
    for tenth in range(100):
        book.record_packet("n", THERE, token(1, 5), tenth / 10)
    book.record_packet("n", ELSEWHERE, token(2, 1), 10.0)
    book.record_packet("n", THERE, token(1, 6), 20.0)  # of the life before
    assert book.lookup("n") == ELSEWHERE


def test_learned_addresses_when_at_the_maximum_expire():
    book = AddressBook({})
    for number in range(MAX_LEARNED_ADDRESSES + 5):
        book.record_packet(f"n{number}", HERE, token(1, 1), 0.0)
    assert book.lookup(f"n{MAX_LEARNED_ADDRESSES - 1}") == HERE and book.lookup(f"n{MAX_LEARNED_ADDRESSES}") is None
    book.record_packet("late", HERE, token(1, 1), SESSION_TAKEOVER_S + 1)
    assert book.lookup("late") == HERE and book.lookup("n0") is None
