"""Random fault injection for a fake fleet."""

from tests.ownership.chaos import (  # noqa: F401 fills the registry
    _coordinator_faults,
    _network_faults,
    _server_faults,
    _store_faults,
)
from tests.ownership.chaos._chaos import Chaos, InjectedFault
from tests.ownership.chaos._servers import start_server, stop_server

__all__ = ('Chaos', 'InjectedFault', 'start_server', 'stop_server')
