"""Measurements of the simulator adapter."""

import json

import pytest
from click.testing import CliRunner

from bench.wirehost import cpu_seconds, main
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
