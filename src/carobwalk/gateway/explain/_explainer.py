"""Explanation of one request by the state of the choosers."""

import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

import trio

from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway.choice import (
    CrashTracker,
    KeyOwners,
)
from carobwalk.gateway.choice._misdirected_keys import (
    MisdirectedKeys,
    Ownership,
)
from carobwalk.gateway.explain._facts import (
    DestinationFacts,
    Explanation,
    OwnerFacts,
    Question,
    RouteFacts,
)
from carobwalk.gateway.explain._server_view import ServerView, ServerViewParts
from carobwalk.gateway.explain._verdict import keyed_verdict, unkeyed_verdict
from carobwalk.http import AnswerMemory, AnswerShare
from carobwalk.model import ServiceName
from carobwalk.routing import ActiveRoutes, Destination, Route

# The cost of the distance to a server doesn't rise with larger bodies.
_MAX_COSTED_BYTES: Final = 65_536
# Connections that carried a request of the same id aren't used for it.
_REQUEST_ID: Final = b'explain'


@dataclass(frozen=True, slots=True, kw_only=True)
class ExplainParts:
    """What explanations are made from.

    Args:
        routes: Routing configuration in force.
        records_age: Returns the seconds since the records were current.
        owners: Looks up the owner of a key.
        misdirected: Keys that their owners refused lately.
        crash_tracker: Holds the quarantine.
        servers: State of the servers.
    """

    routes: ActiveRoutes
    records_age: Callable[[], float]
    owners: KeyOwners
    misdirected: MisdirectedKeys
    crash_tracker: CrashTracker
    servers: ServerViewParts


class Explainer:
    """Tells where a request would go; counts, draws and sends nothing.

    Args:
        parts: What explanations are made from.
    """

    def __init__(self, parts: ExplainParts) -> None:
        self._parts = parts
        self._view = ServerView(parts.servers)

    def explain(self, question: Question) -> Explanation:
        """Return where a request would go now."""
        parts = self._parts
        shared = parts.servers.loads.shared
        table = parts.routes.table
        route = table.find(question.host, question.path) if table else None
        age = shared.age
        known = Explanation(
            version=parts.routes.version,
            records_age=parts.records_age(),
            digest_age=age if math.isfinite(age) else None,
            digest_weight=shared.weight if parts.servers.sampled else 0,
        )
        if route is None:
            detail = 'no route matches' if table else 'no configuration yet'
            return replace(known, detail=detail)
        request = _request_of(question, route)
        is_complete = bool(question.caller) and not question.body_bytes
        return replace(
            known,
            is_quarantined=(
                parts.crash_tracker.is_quarantined(request)
                if is_complete
                else None
            ),
            route=self._route(request),
            destinations=tuple(
                self._destination(destination, request)
                for destination in route.destinations
            ),
        )

    def _route(self, request: CallerRequest) -> RouteFacts:
        route = request.route
        regions = self._parts.servers.regions.allowed(request)
        return RouteFacts(
            name=route.name,
            prefix=route.prefix,
            repeat_rule=str(route.repeat_rule),
            rank=route.rank,
            timeout=route.timeout,
            target_latency=route.target_latency,
            max_attempts=route.max_attempts,
            allowed_regions=None if regions is None else sorted(regions),
        )

    def _destination(
        self, destination: Destination, request: CallerRequest
    ) -> DestinationFacts:
        service = destination.service
        total = sum(each.weight for each in request.route.destinations)
        is_keyed = request.key is not None and self._is_keyed(service)
        owner = self._owner(service, request) if is_keyed else None
        servers = self._view.facts(service, request, owner, is_keyed=is_keyed)
        excluded = self._parts.servers.candidates.refusal(service, request)
        waiting = self._view.waiting(service, owner)
        if is_keyed:
            verdict = keyed_verdict(servers, owner, excluded, waiting)
        else:
            verdict = unkeyed_verdict(servers, excluded, waiting)
        return DestinationFacts(
            service=service,
            weight=destination.weight,
            chance=destination.weight / total if total else 0,
            is_keyed=is_keyed,
            outcome=verdict.outcome,
            detail=verdict.detail,
            seconds=verdict.seconds,
            waiting=waiting,
            owner=owner,
            servers=servers,
        )

    def _is_keyed(self, service: ServiceName) -> bool:
        table = self._parts.routes.table
        services = table.configuration.services_by_name if table else {}
        routed = services.get(service)
        return routed is not None and routed.is_keyed

    def _owner(
        self, service: ServiceName, request: CallerRequest
    ) -> OwnerFacts | None:
        key = request.key or 0
        owner = self._parts.owners.find(service, key)
        if owner is None:
            return None
        loads = self._parts.servers.loads
        if loads.warmups.is_cold(owner.server):
            admitted = loads.warmups.share_of(owner.server) or 0
        else:
            admitted = loads.admission.chance(owner.server, request.route)
        return OwnerFacts(
            server=owner.server.id,
            is_granted=owner.is_granted,
            fence=owner.fence,
            is_misdirected=self._parts.misdirected.is_refused(
                service, key, Ownership(owner.server.incarnation, owner.fence)
            ),
            admitted=min(admitted, 1),
        )


def _request_of(question: Question, route: Route) -> CallerRequest:
    now = trio.current_time()
    return CallerRequest(
        id=_REQUEST_ID,
        caller=question.caller,
        method=question.method.encode('latin-1', 'replace'),
        target=question.path.encode('latin-1', 'replace'),
        headers=(),
        body=bytes(min(question.body_bytes, _MAX_COSTED_BYTES)),
        route=route,
        key=question.key,
        arrived=now,
        deadline=now + route.timeout,
        answer_share=AnswerShare(AnswerMemory(0)),
        draw=0,
    )
