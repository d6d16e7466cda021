"""Measurements of the simulator adapter."""

import json

import pytest
from click.testing import CliRunner

from bench.wirehost import COST_DAYS, cpu_seconds, main, record_day
from wickhinge.wirehost.host import RouterHost


def count_differing():
    """Return how many replies of two drawn days differ from those without the instances that end."""
    result = CliRunner().invoke(main, ["ends", "--days", "2"], catch_exceptions=False)
    return json.loads(result.output.splitlines()[-1])["differing"]


def test_ends_counts_no_batch_but_with_a_planted_fault_in_which_killed_instances_go_on(monkeypatch):
    assert count_differing() == 0
    monkeypatch.setattr(RouterHost, "_end", lambda self, number: None)
    assert count_differing() > 0


def test_cost_when_the_other_checkout_has_no_adapter_is_an_error(tmp_path):
    with pytest.raises(RuntimeError, match="ended with exit code 1"):
        cpu_seconds(tmp_path, b"")


def test_days_whose_cost_is_measured_hold_load_reports_without_absent_values():
    """Adapters before the change end by such a value, so that nothing could be measured beside them."""
    for settings, _ in COST_DAYS.values():
        messages = [json.loads(line) for line in record_day(1, settings, 20).splitlines()]
        reports = [message["CheckResult"]["report"] for message in messages if "CheckResult" in message]
        assert not any(None in report.values() for report in reports if report is not None)
