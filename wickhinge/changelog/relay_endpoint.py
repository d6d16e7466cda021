"""Endpoint of a relay: its state machine on a UDP socket."""

from __future__ import annotations

from wickhinge.changelog.context import Runtime
from wickhinge.changelog.endpoint import Endpoint, EndpointConfig
from wickhinge.changelog.relay import Relay
from wickhinge.changelog.settings import RelaySettings


class RelayEndpoint(Endpoint):
    """Endpoint of a relay. `config.peers` holds the replicas; addresses of routers are learned from their packets."""

    state_machine: Relay

    def __init__(self, config: EndpointConfig, runtime: Runtime, settings: RelaySettings | None = None) -> None:
        """Create an endpoint with an empty log; the default settings are those of RelaySettings."""
        context = runtime.context(config.name)
        relay = Relay(context, list(config.peers), settings or RelaySettings(), runtime.clock())
        super().__init__(config, runtime, relay)
