"""Question about a request, and the facts of which the answer consists."""

from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Annotated, Final

import msgspec

Natural = Annotated[int, msgspec.Meta(ge=0)]


@unique
class Outcome(StrEnum):
    """What happens to a request first."""

    SEND = 'send'
    WAIT = 'wait'
    REFUSE = 'refuse'


@unique
class Rule(StrEnum):
    """Rule by which a server gets no request now."""

    LEAVING = 'leaving'
    OUTSIDE = 'outside the allowed regions'
    EVACUATED = 'evacuated'
    NOT_OWNER = 'not the owner of the key'
    NOT_GRANTED = 'the grant is not confirmed'
    MISDIRECTED = 'refused the key as not its own'
    NO_SHARE = 'cold without a share'
    COLD = 'cold, drawn by its share only'
    EJECTED = 'ejected'
    GATE = 'limits its requests'
    FULL = 'full'


# Rules that the end of a request in flight doesn't change.
LASTING_RULES: Final = frozenset(
    (
        Rule.LEAVING,
        Rule.OUTSIDE,
        Rule.EVACUATED,
        Rule.NO_SHARE,
        Rule.COLD,
    )
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Question:
    """Request to explain.

    Args:
        host: Host, with or without a port.
        path: Path, with or without a query.
        method: HTTP method.
        key: Number of the key, ``None`` without one.
        body_bytes: Size of the body.
        caller: IP address of the caller, empty if unknown.
    """

    host: str
    path: str
    method: str = 'GET'
    key: Natural | None = None
    body_bytes: Natural = 0
    caller: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteFacts:
    """Route of the request; ``allowed_regions`` is ``None`` for all."""

    name: str
    prefix: str
    repeat_rule: str
    rank: int
    timeout: float
    target_latency: float
    max_attempts: int
    allowed_regions: list[str] | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerFacts:
    """What the process knows of a candidate server.

    Args:
        server: Id of the server.
        data_centre: Its data centre.
        excluded: Rules by which it gets no request now.
        chance: Part of the requests that are drawn for it while it is cold,
            ``None`` if it isn't drawn for.
        cost: Cost in seconds of the request there. The least one is chosen of
            all servers, or of three random ones while the digest decides.
        in_flight: Requests of this process there.
        limit: Most requests of this process there.
        latency: Expected latency in seconds by this process's observation.
        latency_age: Seconds since the last observation, if there was one.
        estimate_seconds: Work time of a request by the digest.
        estimate_in_flight: Requests of all processes there by the digest.
        estimate_age: Seconds since the digest was received.
        is_connected: Whether an idle connection can carry the request.
        cold_seconds: How much longer it is cold.
        cold_share: Share of the requests that it may get while it is cold.
        gate_seconds: Least and greatest time until its gate opens.
        ejected_seconds: Time until it is tried again.
    """

    server: str
    data_centre: str
    excluded: tuple[Rule, ...]
    chance: float | None
    cost: float
    in_flight: int
    limit: float
    latency: float
    latency_age: float | None
    estimate_seconds: float | None
    estimate_in_flight: float | None
    estimate_age: float | None
    is_connected: bool
    cold_seconds: float
    cold_share: float | None
    gate_seconds: tuple[float, float]
    ejected_seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnerFacts:
    """Owner of the key.

    Args:
        server: Id of the owner.
        is_granted: Whether it is known to hold its grant.
        fence: Fencing token of the grant.
        is_misdirected: Whether it refused the key lately as not its own.
        admitted: Part of the requests that it may get, 1 unless it is
            overloaded or cold.
    """

    server: str
    is_granted: bool
    fence: int
    is_misdirected: bool
    admitted: float


@dataclass(frozen=True, slots=True, kw_only=True)
class DestinationFacts:
    """Service that may run the request.

    Args:
        service: Name of the service.
        weight: Its weight in the route.
        chance: Part of the route's requests that it gets.
        is_keyed: Whether only the owner of the key may run the request.
        outcome: What happens to the request first.
        detail: Reason for it.
        seconds: Time until it can be sent or retried, ``None`` if unknown.
        waiting: Requests that wait for the capacity.
        owner: Owner of the key, ``None`` without one.
        servers: All registered servers of the service.
    """

    service: str
    weight: float
    chance: float
    is_keyed: bool
    outcome: Outcome
    detail: str
    seconds: float | None
    waiting: int
    owner: OwnerFacts | None
    servers: tuple[ServerFacts, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """Where a request would go now, and why.

    Args:
        version: Version of the configuration in force, 0 for none.
        records_age: Seconds since the last proof that the configuration and
            the registered servers are current.
        digest_age: Seconds since the last digest, ``None`` without one.
        digest_weight: Part of the choices that the digest decides.
        is_quarantined: Whether the request has crashed servers, ``None`` if
            the caller or the body isn't known.
        detail: Why there is no route, empty if there is one.
        route: Route of the request.
        destinations: Services that share the requests of the route.
    """

    version: int
    records_age: float
    digest_age: float | None
    digest_weight: float
    is_quarantined: bool | None = None
    detail: str = ''
    route: RouteFacts | None = None
    destinations: tuple[DestinationFacts, ...] = ()
