"""A relay on its socket."""

from __future__ import annotations

from wickhinge.changelog.context import Runtime
from wickhinge.changelog.endpoint import Endpoint, EndpointConfig
from wickhinge.changelog.relay import Relay
from wickhinge.changelog.settings import RelaySettings


class RelayEndpoint(Endpoint):
    """A relay. `config.peers` are the replicas; routers' addresses are learned."""

    state_machine: Relay

    def __init__(self, config: EndpointConfig, runtime: Runtime, settings: RelaySettings | None = None) -> None:
        context = runtime.context(config.name)
        relay = Relay(context, list(config.peers), settings or RelaySettings(), runtime.clock())
        super().__init__(config, runtime, relay)
