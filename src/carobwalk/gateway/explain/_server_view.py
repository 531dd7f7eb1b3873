"""View of what a process knows of the servers of a service."""

import math
from collections.abc import Callable
from dataclasses import dataclass, replace

import trio

from carobwalk.directory import BackendServer, ServerDirectory
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway.choice import (
    CandidateServers,
    LoadTable,
    RegionRules,
    SampledChoice,
    ServerCost,
)
from carobwalk.gateway.choice._load_table import initial_limit, keyed_limit
from carobwalk.gateway.choice._server_load import ServerLoad
from carobwalk.gateway.explain._facts import OwnerFacts, Rule, ServerFacts
from carobwalk.model import ServerId, ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerViewParts:
    """State that the view reads.

    Args:
        directory: Registered backend servers.
        candidates: Tells which servers may be sent a request.
        regions: Limits servers by their regions.
        loads: Load of each server.
        cost: Cost by what this process observed.
        sampled: Choice by the digest, ``None`` if it isn't used.
        has_connection: Returns whether an open connection can carry a request
            to a server.
    """

    directory: ServerDirectory
    candidates: CandidateServers
    regions: RegionRules
    loads: LoadTable
    cost: ServerCost
    sampled: SampledChoice | None
    has_connection: Callable[[BackendServer, CallerRequest], bool]


class ServerView:
    """Reads the state of servers without changing it.

    Args:
        parts: State that the view reads.
    """

    def __init__(self, parts: ServerViewParts) -> None:
        self._parts = parts

    def facts(
        self,
        service: ServiceName,
        request: CallerRequest,
        owner: OwnerFacts | None,
        *,
        is_keyed: bool,
    ) -> tuple[ServerFacts, ...]:
        """Return what is known of all servers of a service.

        Args:
            service: The service.
            request: The request.
            owner: Owner of its key.
            is_keyed: Whether only the owner may run it.
        """
        facts = []
        for server in self._parts.directory.of_service(service):
            known = self._server(server, request, is_keyed=is_keyed)
            rules = (
                *self._location_rules(server, request, is_keyed=is_keyed),
                *(_owner_rules(server, owner) if is_keyed else ()),
                *self._load_rules(server, known, is_keyed=is_keyed),
            )
            facts.append(replace(known, excluded=rules))
        return tuple(facts) if is_keyed else _with_chances(facts)

    def waiting(self, service: ServiceName, owner: OwnerFacts | None) -> int:
        """Return how many requests wait for a service, or for an owner."""
        loads = self._parts.loads
        if owner is None:
            return len(loads.queues.get(service, ()))
        server = self._parts.directory.get(ServerId(owner.server))
        load = server and loads.by_incarnation.get(server.incarnation)
        return len(load.queue) if load else 0

    def _server(
        self, server: BackendServer, request: CallerRequest, *, is_keyed: bool
    ) -> ServerFacts:
        parts = self._parts
        loads = parts.loads
        now = trio.current_time()
        load = loads.by_incarnation.get(server.incarnation)
        if load is None:
            load = ServerLoad(initial_limit(server))
        limit = load.limit
        if is_keyed:
            limit = min(limit, keyed_limit(server, loads.process_count))
        age = now - load.latency_at
        estimate = loads.shared.estimate(server)
        return ServerFacts(
            server=server.id,
            data_centre=server.data_centre,
            excluded=(),
            chance=None,
            cost=self._cost(server, request, now),
            in_flight=load.in_flight,
            limit=limit,
            latency=load.latency(now, loads.service_latency(server.service)),
            latency_age=age if math.isfinite(age) else None,
            estimate_seconds=estimate.seconds if estimate else None,
            estimate_in_flight=estimate.in_flight if estimate else None,
            estimate_age=loads.shared.age if estimate else None,
            is_connected=parts.has_connection(server, request),
            cold_seconds=parts.directory.cold.seconds_left(server.incarnation),
            cold_share=loads.warmups.share_of(server),
            gate_seconds=load.gate.pause_range(now, loads.gates.sharers),
            ejected_seconds=max(load.ejected_until - now, 0),
        )

    def _cost(
        self, server: BackendServer, request: CallerRequest, now: float
    ) -> float:
        """Return the cost by the digest while it decides, else by own."""
        sampled = self._parts.sampled
        if sampled is not None and self._parts.loads.shared.weight > 0:
            cost = sampled.cost_of(server, request)
            if cost is not None:
                return cost
        return self._parts.cost.observed(server, request, now)

    def _location_rules(
        self, server: BackendServer, request: CallerRequest, *, is_keyed: bool
    ) -> list[Rule]:
        parts = self._parts
        rules: list[Rule] = []
        is_handed_over = not parts.directory.leaving.may_hand_over(server.id)
        if server.is_leaving and (is_handed_over or not is_keyed):
            rules.append(Rule.LEAVING)
        if not parts.candidates.is_in_region(request, server):
            rules.append(Rule.OUTSIDE)
        evacuations = parts.directory.evacuations
        if is_keyed:
            may_get = evacuations.accepts_keyed_requests(server.data_centre)
        else:
            may_get = not evacuations.is_evacuated(server.data_centre)
        if not may_get:
            rules.append(Rule.EVACUATED)
        return rules

    def _load_rules(
        self, server: BackendServer, known: ServerFacts, *, is_keyed: bool
    ) -> list[Rule]:
        rules: list[Rule] = []
        if self._parts.loads.warmups.awaits_share(server):
            rules.append(Rule.NO_SHARE)
        if known.ejected_seconds:
            rules.append(Rule.EJECTED)
        if known.gate_seconds[1]:
            rules.append(Rule.GATE)
        if known.in_flight + 1 > known.limit:
            rules.append(Rule.FULL)
        if not is_keyed and known.cold_share is not None:
            rules.append(Rule.COLD)
        return rules


def _owner_rules(server: BackendServer, owner: OwnerFacts | None) -> list[Rule]:
    if owner is None or owner.server != server.id:
        return [Rule.NOT_OWNER]
    rules: list[Rule] = []
    if not owner.is_granted:
        rules.append(Rule.NOT_GRANTED)
    if owner.is_misdirected:
        rules.append(Rule.MISDIRECTED)
    return rules


def _with_chances(facts: list[ServerFacts]) -> tuple[ServerFacts, ...]:
    """Add the chances of cold servers.

    A request is drawn for a cold server with its share; the shares are reduced
    if they exceed all requests together.
    """
    shares = [each.cold_share or 0 for each in facts]
    scale = 1 / max(sum(shares), 1)
    return tuple(
        each
        if each.cold_share is None
        else replace(each, chance=each.cold_share * scale)
        for each in facts
    )
