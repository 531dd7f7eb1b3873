"""Observable instruments of a gateway process."""

from collections import Counter

from carobwalk.app._cold_instruments import register_cold_instruments
from carobwalk.app._evacuation_instruments import (
    register_evacuation_instruments,
)
from carobwalk.app._gateway_core import GatewayCore
from carobwalk.app._peer_traffic import register_peer_traffic
from carobwalk.app._record_age import register_record_age
from carobwalk.gateway import ConnectionPool, Warmups
from carobwalk.keyspace import KeyReader
from carobwalk.metrics import Measurement, ObservableInstrument
from carobwalk.relay import RecordRelay


def register_gateway_instruments(
    core: GatewayCore,
    pool: ConnectionPool,
    relay: RecordRelay,
    reader: KeyReader,
    warmups: Warmups,
) -> None:
    """Register instruments that are read at each scrape.

    They cover the configuration, backend servers, connections, peers and the
    age of what the process knows.

    Args:
        core: Shared components of the process.
        pool: Pool of connections to backend servers.
        relay: Follows the store's records and relays them.
        reader: Last known key maps.
        warmups: Admits requests to cold servers.
    """
    register_peer_traffic(core.metrics, core.hub.traffic)
    register_record_age(core.metrics, relay)
    register_evacuation_instruments(core, reader)
    register_cold_instruments(core, warmups)
    core.metrics.register_observable(
        ObservableInstrument(
            name='configuration.version',
            description='Version of the configuration in force, 0 for none.',
            read=lambda: (Measurement(core.routes.version, {}),),
        ),
    )
    core.metrics.register_observable(
        ObservableInstrument(
            name='backend.servers',
            description='Registered backend servers.',
            read=lambda: _count_servers(core),
        ),
    )
    core.metrics.register_observable(
        ObservableInstrument(
            name='backend.connections',
            description='Connections that were opened to backend servers.',
            read=lambda: (Measurement(pool.opened_count, {}),),
            is_monotonic=True,
        ),
    )


def _count_servers(core: GatewayCore) -> list[Measurement]:
    counts = Counter(
        (server.service, 'leaving' if server.is_leaving else 'ready')
        for server in core.directory.all_servers()
    )
    return [
        Measurement(count, {'service': service, 'state': state})
        for (service, state), count in counts.items()
    ]
