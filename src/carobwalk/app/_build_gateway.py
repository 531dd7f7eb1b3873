"""The way of requests at a process on the users' platform."""

from collections.abc import Callable
from dataclasses import dataclass

from carobwalk.app._gateway_core import GatewayCore
from carobwalk.gateway import (
    ConnectionPool,
    Forwarder,
    ForwarderParts,
    GatewayServer,
    GatewayService,
    KeyedChooser,
    KeyOwners,
    Locality,
    RetryRules,
    UnkeyedChooser,
)
from carobwalk.keyspace import LocalLoad
from carobwalk.metrics import GatewayMeter
from carobwalk.platform import PLATFORM_HEADERS
from carobwalk.settings import Bounds

# Descriptors that callers' connections leave to everything else.
_KEPT_DESCRIPTORS = 1200


@dataclass(frozen=True, slots=True, kw_only=True)
class Gateway:
    """The way of requests.

    Args:
        server: Takes callers' connections.
        pool: Connections to backend servers.
    """

    server: GatewayServer
    pool: ConnectionPool


def repeat_rules(bounds: Bounds) -> RetryRules:
    """Return the bounds on repeats."""
    return RetryRules(
        ratio=bounds.repeat_ratio,
        slack=bounds.repeat_slack,
        window=bounds.repeat_window_seconds,
    )


def build_gateway(
    core: GatewayCore,
    owners: KeyOwners,
    local: LocalLoad,
    is_stopping: Callable[[], bool],
) -> Gateway:
    """Return the parts that serve callers.

    Args:
        core: Parts of the process.
        owners: Map from keys to backend servers.
        local: Loads, bounds on repeats and suspects of this process.
        is_stopping: Returns whether the process is about to stop.
    """
    settings = core.settings
    place = Locality(
        settings.process.data_centre,
        settings.regions_by_data_centre,
    )
    pool = ConnectionPool(core.directory, PLATFORM_HEADERS)
    forwarder = Forwarder(
        ForwarderParts(
            names=PLATFORM_HEADERS,
            loads=local.loads,
            pool=pool,
            unkeyed=UnkeyedChooser(core.directory, local.loads, place),
            keyed=KeyedChooser(owners, local.loads),
            budgets=local.budgets,
            crash_tracker=local.suspects,
            events=core.events,
        ),
    )
    service = GatewayService(
        names=PLATFORM_HEADERS,
        routes=core.routes,
        forwarder=forwarder,
        count_key=owners.count,
        meter=GatewayMeter(core.metrics),
        events=core.events,
        is_stopping=is_stopping,
    )
    most = max(settings.host.descriptors - _KEPT_DESCRIPTORS, 100)
    return Gateway(server=GatewayServer(service, most), pool=pool)
