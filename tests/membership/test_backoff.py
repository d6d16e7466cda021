"""Which address of a service is tried next, and when."""

from types import SimpleNamespace

from wickhinge.membership.backoff import AddressBackoff


def test_backoff_when_all_addresses_fail_goes_in_turn_and_waits_longer_each_round():
    made = AddressBackoff([("a", 1), ("b", 2)], SimpleNamespace(draw=lambda: 0.5), 0.1, 1.0)
    tries = [made.record_failure() for _ in range(12)]
    assert [where[0] for where, _ in tries[:3]] == ["b", "a", "b"]
    assert [wait for _, wait in tries[:4]] == [0.1, 0.2, 0.2, 0.4] and tries[-1][1] == 1.0
    made.record_success()
    assert made.record_failure()[1] == 0.1
    made.replace_first_address(("c", 3))
    assert [made.record_failure()[0][0] for _ in range(4)] == ["b", "c", "b", "c"]
