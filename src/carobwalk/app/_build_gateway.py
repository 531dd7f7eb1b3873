"""Construction of the request path of a gateway process."""

from collections.abc import Callable
from dataclasses import dataclass

from carobwalk.app._answer_bytes import caller_answer_bytes
from carobwalk.app._explain_handler import ExplainSources
from carobwalk.app._gateway_core import GatewayCore
from carobwalk.app._load_instruments import register_load_digest
from carobwalk.gateway import (
    CandidateServers,
    ConnectionPool,
    Forwarder,
    ForwarderParts,
    GatewayServer,
    GatewayService,
    KeyedChooser,
    KeyOwners,
    Locality,
    RegionRules,
    RetryBudgets,
    RetryRules,
    SampledChoice,
    ServerCost,
    UnkeyedChooser,
)
from carobwalk.http import AnswerMemory, Shutdown
from carobwalk.keyspace import LocalLoad
from carobwalk.metrics import GatewayMeter
from carobwalk.platform import PLATFORM_HEADERS
from carobwalk.settings import Bounds

# File descriptors that are not available to connections of callers.
_RESERVED_DESCRIPTORS = 1200


@dataclass(frozen=True, slots=True, kw_only=True)
class Gateway:
    """Request path from callers to backend servers.

    Args:
        server: Accepts connections of callers.
        pool: Pool of connections to backend servers.
        shutdown: Bounds requests by the end of the process.
        explained: Components whose state is explained to operators.
    """

    server: GatewayServer
    pool: ConnectionPool
    shutdown: Shutdown
    explained: ExplainSources


def retry_rules(bounds: Bounds) -> RetryRules:
    """Return the limits of the retry budget.

    Args:
        bounds: Bounds from the settings.
    """
    return RetryRules(
        ratio=bounds.repeat_ratio,
        slack=bounds.repeat_slack,
        window=bounds.repeat_window_seconds,
    )


def build_gateway(
    core: GatewayCore,
    owners: KeyOwners,
    local: LocalLoad,
    budgets: RetryBudgets,
    is_stopping: Callable[[], bool],
) -> Gateway:
    """Return the components that serve callers.

    Args:
        core: Shared components of the process.
        owners: Looks up the backend server that owns a key.
        local: Server loads and crash tracker of this process.
        budgets: Retry budgets of the services.
        is_stopping: Returns whether the process is shutting down.
    """
    parts = _choice_parts(core, owners, local)
    forwarder = Forwarder(
        ForwarderParts(
            names=PLATFORM_HEADERS,
            loads=local.loads,
            pool=parts.pool,
            unkeyed=UnkeyedChooser(
                parts.candidates,
                local.loads,
                parts.cost,
                parts.sampled,
            ),
            keyed=parts.keyed,
            budgets=budgets,
            crash_tracker=local.crash_tracker,
            events=core.events,
        ),
    )
    service = GatewayService(
        names=PLATFORM_HEADERS,
        routes=core.routes,
        forwarder=forwarder,
        count_key=owners.count,
        answer_memory=AnswerMemory(caller_answer_bytes(core.settings.host)),
        meter=GatewayMeter(core.metrics),
        events=core.events,
        is_stopping=is_stopping,
        shutdown=Shutdown(),
    )
    max_connections = max(
        core.settings.host.descriptors - _RESERVED_DESCRIPTORS,
        100,
    )
    return Gateway(
        server=GatewayServer(service, max_connections),
        pool=parts.pool,
        shutdown=service.shutdown,
        explained=parts,
    )


def _choice_parts(
    core: GatewayCore, owners: KeyOwners, local: LocalLoad
) -> ExplainSources:
    """Return the components that choose servers, which are also explained."""
    settings = core.settings
    locality = Locality(
        settings.process.data_centre,
        settings.regions_by_data_centre,
    )
    regions = RegionRules(settings.regions_by_data_centre, core.routes)
    candidates = CandidateServers(
        core.directory, local.loads.warmups.is_cold, regions
    )
    pool = ConnectionPool(core.directory, PLATFORM_HEADERS)
    cost = ServerCost(local.loads, locality)
    sampled = None
    if settings.choice.shared_load:
        shared = local.loads.shared
        sampled = SampledChoice(shared, cost, locality, pool.has_idle)
        register_load_digest(core.metrics, shared, sampled)
    return ExplainSources(
        owners=owners,
        keyed=KeyedChooser(owners, local.loads, candidates),
        loads=local.loads,
        crash_tracker=local.crash_tracker,
        candidates=candidates,
        regions=regions,
        cost=cost,
        sampled=sampled,
        pool=pool,
    )
