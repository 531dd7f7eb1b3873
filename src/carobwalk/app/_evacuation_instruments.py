"""Observable instruments of evacuated data centres."""

from carobwalk.app._gateway_core import GatewayCore
from carobwalk.keyspace import KeyReader, count_evacuated_keys
from carobwalk.metrics import Measurement, ObservableInstrument


def register_evacuation_instruments(
    core: GatewayCore, reader: KeyReader
) -> None:
    """Register the evacuated data centres and the keys that are still there.

    Args:
        core: Shared components of the process.
        reader: Last known key maps.
    """
    core.metrics.register_observable(
        ObservableInstrument(
            name='evacuation.data_centres',
            description='1 for each data centre that is evacuated.',
            read=lambda: [
                Measurement(1, {'data_centre': data_centre})
                for data_centre in core.directory.evacuations.data_centres
            ],
        ),
    )
    core.metrics.register_observable(
        ObservableInstrument(
            name='evacuation.keys',
            description='Keys that evacuated servers may still hold.',
            read=lambda: _count_keys(core, reader),
        ),
    )


def _count_keys(core: GatewayCore, reader: KeyReader) -> list[Measurement]:
    data_centres_by_incarnation = {
        server.incarnation: server.data_centre
        for server in core.directory.all_servers()
    }
    table = core.routes.table
    measurements: list[Measurement] = []
    for service in table.configuration.keyed_services if table else ():
        key_map = reader.map_of(service)
        if key_map is None:
            continue
        counts = count_evacuated_keys(
            key_map,
            core.directory.evacuations.data_centres,
            data_centres_by_incarnation.get,
        )
        measurements.extend(
            Measurement(count, {'service': service, 'data_centre': data_centre})
            for data_centre, count in counts.items()
        )
    return measurements
