"""Observable instruments of a gateway process."""

from collections import Counter

from carobwalk.app._gateway_core import GatewayCore
from carobwalk.app._peer_traffic import register_peer_traffic
from carobwalk.gateway import ConnectionPool
from carobwalk.metrics import Reading, Watched


def register_gateway_instruments(
    core: GatewayCore,
    pool: ConnectionPool,
) -> None:
    """Register instruments that are read at each scrape.

    They cover the configuration, backend servers, connections and peers.

    Args:
        core: Shared components of the process.
        pool: Pool of connections to backend servers.
    """
    register_peer_traffic(core.metrics, core.hub.traffic)
    core.metrics.watch(
        Watched(
            name='configuration.version',
            description='Version of the configuration in force, 0 for none.',
            read=lambda: (Reading(core.routes.version, {}),),
        ),
    )
    core.metrics.watch(
        Watched(
            name='backend.servers',
            description='Registered backend servers.',
            read=lambda: _count_servers(core),
        ),
    )
    core.metrics.watch(
        Watched(
            name='backend.connections',
            description='Connections that were opened to backend servers.',
            read=lambda: (Reading(pool.opened, {}),),
            is_rising=True,
        ),
    )


def _count_servers(core: GatewayCore) -> list[Reading]:
    counts = Counter(
        (server.service, 'leaving' if server.is_leaving else 'ready')
        for server in core.directory.all_servers()
    )
    return [
        Reading(count, {'service': service, 'state': state})
        for (service, state), count in counts.items()
    ]
