"""Address book of the change log: learned addresses, and their protection from replayed packets."""

import pytest

from tests.support.changelog_endpoints import (
    ADDRESS_A,
    ADDRESS_B,
    ADDRESS_C,
)
from wickhinge.changelog.addresses import MAX_LEARNED_ADDRESSES, SESSION_TAKEOVER_S, AddressBook
from wickhinge.changelog.echo_tokens import COUNTER_BITS


def token(session, count):
    return session << COUNTER_BITS | count


def test_address_when_in_the_settings_is_not_replaced_by_a_learned_one():
    book = AddressBook({"a": ADDRESS_A})
    book.record_packet("a", ADDRESS_B, token(1, 1), 0.0)
    assert (book.lookup("a"), book.lookup("b")) == (ADDRESS_A, None)


@pytest.mark.parametrize(
    "session, count, delay_s, expected",
    [
        (1, 6, 0.1, ADDRESS_B),  # The process has a new address, for example after a change of its NAT.
        (1, 5, 0.1, ADDRESS_A),  # The latest packet is replayed.
        (1, 4, 0.1, ADDRESS_A),
        (2, 1, 0.1, ADDRESS_A),  # A packet of another session arrives soon after the known session's packet.
        (2, 1, SESSION_TAKEOVER_S + 0.1, ADDRESS_B),  # A new session starts after the known session has been silent.
        (1, 3, SESSION_TAKEOVER_S + 0.1, ADDRESS_A),
        (1, 0, 9.0, ADDRESS_A),  # The packet has no token.
    ],
)
def test_address_when_a_packet_arrives_from_elsewhere_changes_only_with_a_newer_token(
    session, count, delay_s, expected
):
    book = AddressBook({})
    book.record_packet("n", ADDRESS_A, token(1, 5), 10.0)
    book.record_packet("n", ADDRESS_B, token(session, count) if count else 0, 10.0 + delay_s)
    assert book.lookup("n") == expected


def test_address_when_a_new_session_starts_amid_replays_changes_to_it():
    book = AddressBook({})
    book.record_packet("n", ADDRESS_A, token(1, 5), 0.0)
    for tenth in range(100):
        book.record_packet("n", ADDRESS_B, token(1, 5), tenth / 10)
    book.record_packet("n", ADDRESS_C, token(2, 1), 10.0)
    book.record_packet("n", ADDRESS_B, token(1, 6), 20.0)  # A packet of the former session.
    assert book.lookup("n") == ADDRESS_C


def test_learned_address_when_at_the_maximum_is_added_only_after_others_expired():
    book = AddressBook({})
    for number in range(MAX_LEARNED_ADDRESSES + 5):
        book.record_packet(f"n{number}", ADDRESS_A, token(1, 1), 0.0)
    assert (
        book.lookup(f"n{MAX_LEARNED_ADDRESSES - 1}") == ADDRESS_A and book.lookup(f"n{MAX_LEARNED_ADDRESSES}") is None
    )
    book.record_packet("late", ADDRESS_A, token(1, 1), SESSION_TAKEOVER_S + 1)
    assert book.lookup("late") == ADDRESS_A and book.lookup("n0") is None
