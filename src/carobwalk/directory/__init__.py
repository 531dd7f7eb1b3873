"""Directory of the registered backend servers."""

from carobwalk.directory._backend_server import BackendServer
from carobwalk.directory._cold_servers import ColdServers
from carobwalk.directory._evacuations import (
    DEFAULT_EVACUATION_SECONDS,
    Evacuations,
)
from carobwalk.directory._events import (
    EvacuationBegun,
    EvacuationEnded,
    ServerChanged,
    ServerCold,
    ServerEntryDropped,
    ServerForgotten,
    ServerWarm,
)
from carobwalk.directory._leaving_servers import LeavingServers
from carobwalk.directory._server_directory import ServerDirectory
from carobwalk.directory._server_incarnation import ServerIncarnation

__all__ = (
    'DEFAULT_EVACUATION_SECONDS',
    'BackendServer',
    'ColdServers',
    'EvacuationBegun',
    'EvacuationEnded',
    'Evacuations',
    'LeavingServers',
    'ServerChanged',
    'ServerCold',
    'ServerDirectory',
    'ServerEntryDropped',
    'ServerForgotten',
    'ServerIncarnation',
    'ServerWarm',
)
