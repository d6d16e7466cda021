"""Which address of a service is tried next, and when."""

from types import SimpleNamespace

from wickhinge.membership.backoff import AddressBackoff


def test_backoff_when_all_addresses_fail_goes_in_turn_and_waits_longer_each_round():
    backoff = AddressBackoff([("a", 1), ("b", 2)], SimpleNamespace(draw=lambda: 0.5), 0.1, 1.0)
    attempts = [backoff.record_failure() for _ in range(12)]
    assert [address[0] for address, _ in attempts[:3]] == ["b", "a", "b"]
    assert [delay_s for _, delay_s in attempts[:4]] == [0.1, 0.2, 0.2, 0.4] and attempts[-1][1] == 1.0
    backoff.record_success()
    assert backoff.record_failure()[1] == 0.1
    backoff.replace_first_address(("c", 3))
    assert [backoff.record_failure()[0][0] for _ in range(4)] == ["b", "c", "b", "c"]
