"""Clients of real routers in a fleet run."""

import json
from types import SimpleNamespace

from bench.fleet import ClientConnection
from bench.scale.fleet_caches import CachesReport, RouterClient


def test_requests_open_on_a_lost_connection_are_counted_as_failed_and_their_keys_are_free_again(tmp_path):
    """A request must not outlive its connection: its key would never be requested again."""
    path = tmp_path / "real-0.json"
    path.write_text(json.dumps({"listen": "127.0.0.1:1"}))
    caches = SimpleNamespace(report=CachesReport(), router_by_key={})
    client = RouterClient(path, caches)
    connection = ClientConnection(client._on_connected, client._on_connection_lost)
    connection.transport = SimpleNamespace(write=lambda data: None, setTcpNoDelay=lambda flag: None)
    connection.connectionMade()
    for key in (1, 2):
        client.request_object(key)
    connection.connectionLost()
    assert caches.router_by_key == {}
    assert (caches.report.requests, caches.report.answered, caches.report.failed) == (2, 0, 2)
