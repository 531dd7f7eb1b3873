"""Construction of the listener for callers."""

from collections.abc import Callable

from carobwalk.app._core import Core
from carobwalk.app._placement_forwarder import PlacementForwarder
from carobwalk.app._request_log import RequestLog
from carobwalk.dispatch import ServerChooser
from carobwalk.entry import Classifier, EntryLimits, EntryServer, Router
from carobwalk.model import Forwarder, ProcessId
from carobwalk.ownership import Placements
from carobwalk.profiles import Catalogue
from carobwalk.settings import Limits


def build_entry(
    core: Core,
    placements: Placements,
    local_forwarder: Forwarder,
    chooser: ServerChooser,
    catalogue: Callable[[], Catalogue],
) -> EntryServer:
    """Return the server that accepts requests of callers.

    Args:
        core: Shared components of the process.
        placements: Shard map.
        local_forwarder: Runs requests at the dispatchers of this process.
        chooser: Selects backend servers for requests without a key.
        catalogue: Returns the configuration in force.
    """
    own_id = ProcessId(core.own.name)
    return EntryServer(
        Classifier(own_id, catalogue),
        Router(
            placements,
            PlacementForwarder(own_id, local_forwarder, core.hub),
            chooser,
        ),
        RequestLog(core.events, core.metrics),
        _limits(core.settings.limits),
    )


def _limits(limits: Limits) -> EntryLimits:
    return EntryLimits(
        header_bytes=limits.header_bytes,
        connections=limits.caller_connections,
        idle_seconds=limits.caller_idle_seconds,
        header_seconds=limits.caller_header_seconds,
        stall_seconds=limits.caller_stall_seconds,
    )
