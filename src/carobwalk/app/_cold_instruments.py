"""Observable instruments of cold backend servers."""

from collections import Counter
from collections.abc import Mapping

from carobwalk.app._gateway_core import GatewayCore
from carobwalk.gateway import Warmups
from carobwalk.metrics import Measurement, ObservableInstrument
from carobwalk.model import ServiceName


def register_cold_instruments(core: GatewayCore, warmups: Warmups) -> None:
    """Register instruments of cold servers and the requests to them.

    Args:
        core: Shared components of the process.
        warmups: Admits requests to cold servers.
    """
    core.metrics.register_observable(
        ObservableInstrument(
            name='backend.cold_servers',
            description='Backend servers that are cold by their entries.',
            read=lambda: _by_service(
                Counter(
                    server.service for server in core.directory.cold.all_cold()
                ),
            ),
        ),
    )
    core.metrics.register_observable(
        ObservableInstrument(
            name='backend.cold_requests',
            description='Requests that were sent to cold backend servers.',
            read=lambda: _by_service(warmups.sent_by_service),
            is_monotonic=True,
        ),
    )
    core.metrics.register_observable(
        ObservableInstrument(
            name='backend.cold_requests_capped',
            description='Requests that were drawn for cold backend servers '
            'but exceeded the limit of this process.',
            read=lambda: _by_service(warmups.capped_by_service),
            is_monotonic=True,
        ),
    )


def _by_service(counts: Mapping[ServiceName, int]) -> list[Measurement]:
    return [
        Measurement(count, {'service': service})
        for service, count in counts.items()
    ]
