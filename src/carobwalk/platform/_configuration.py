"""Decoding of the operator's configuration."""

from typing import Final

import msgspec
from result import Err, Ok, Result

from carobwalk.model import ServiceName
from carobwalk.routing import (
    CallerLimits,
    Destination,
    RepeatRule,
    Route,
    RoutedService,
    RoutingConfiguration,
)

CONFIGURATION_PREFIX: Final = 'op/'
CONFIGURATION_NAME: Final = 'op/config'
_VERSION_MARK: Final = 'r'
_IDEMPOTENT: Final = 'idempotent'
_KINDS: Final = frozenset(('idempotent', 'non_idempotent', 'upload'))
_BULK: Final = 'upload'
_DEFAULT_CONNECTIONS: Final = 128


class _Part(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Action(msgspec.Struct):
    timeout_s: float
    max_attempts: int = 1
    service: str | None = None
    traffic_split: tuple[_Part, ...] = ()


class _Match(msgspec.Struct):
    prefix: str


class _Rule(msgspec.Struct):
    kind: str
    match: _Match
    action: _Action
    name: str = ''
    target_latency_s: float | None = None
    priority: int = 0


class _Listener(msgspec.Struct):
    host: str
    rule_set: tuple[_Rule, ...] = ()


class _Cluster(msgspec.Struct):
    name: str
    max_conns: int = _DEFAULT_CONNECTIONS
    # True: each key is held by one backend.
    sharded: bool = False


class _Limits(msgspec.Struct):
    max_header_bytes: int = CallerLimits.__dataclass_fields__[
        'header_bytes'
    ].default
    max_body_bytes: int = CallerLimits.__dataclass_fields__[
        'body_bytes'
    ].default
    header_timeout_s: float = CallerLimits.__dataclass_fields__[
        'header_seconds'
    ].default
    idle_timeout_s: float = CallerLimits.__dataclass_fields__[
        'idle_seconds'
    ].default


class _Configuration(msgspec.Struct):
    version: str
    listeners: tuple[_Listener, ...]
    clusters: tuple[_Cluster, ...]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class ConfigurationError(msgspec.Struct, frozen=True):
    """A configuration that can't be read.

    Args:
        detail: What is wrong with it.
    """

    detail: str


def decode_configuration(
    content: bytes,
) -> Result[RoutingConfiguration, ConfigurationError]:
    """Return the configuration that the operator wrote."""
    try:
        raw = msgspec.json.decode(content, type=_Configuration)
        return _convert(raw)
    except (msgspec.MsgspecError, ValueError) as error:
        return Err(ConfigurationError(str(error)))


def _convert(
    raw: _Configuration,
) -> Result[RoutingConfiguration, ConfigurationError]:
    services_by_name = {
        ServiceName(cluster.name): RoutedService(
            name=ServiceName(cluster.name),
            is_keyed=cluster.sharded,
            max_connections=cluster.max_conns,
        )
        for cluster in raw.clusters
    }
    routes = tuple(
        _route(listener.host, rule)
        for listener in raw.listeners
        for rule in listener.rule_set
    )
    for route in routes:
        detail = _find_fault(route, frozenset(services_by_name))
        if detail:
            return Err(ConfigurationError(f'route {route.name}: {detail}'))
    return Ok(
        RoutingConfiguration(
            version=_parse_version(raw.version),
            routes=routes,
            services_by_name=services_by_name,
            limits=_limits(raw.limits),
        ),
    )


def _parse_version(text: str) -> int:
    if not text.startswith(_VERSION_MARK):
        raise ValueError(f'not a version: {text!r}')
    return int(text[len(_VERSION_MARK) :])


def _route(host: str, rule: _Rule) -> Route:
    if rule.kind not in _KINDS:
        raise ValueError(f'unknown kind: {rule.kind!r}')
    action = rule.action
    parts = action.traffic_split or (_Part(action.service or ''),)
    is_idempotent = rule.kind == _IDEMPOTENT
    return Route(
        name=rule.name,
        host=host.lower(),
        prefix=rule.match.prefix,
        repeat_rule=(
            RepeatRule.IDEMPOTENT if is_idempotent else RepeatRule.AT_MOST_ONCE
        ),
        is_bulk=rule.kind == _BULK,
        rank=rule.priority,
        destinations=tuple(
            Destination(ServiceName(part.service), part.weight)
            for part in parts
            if part.weight > 0
        ),
        timeout=action.timeout_s,
        target_latency=rule.target_latency_s or action.timeout_s,
        max_attempts=action.max_attempts,
    )


def _find_fault(route: Route, services: frozenset[ServiceName]) -> str:
    """Return what is wrong with a route, nothing if it is well formed."""
    if not route.destinations:
        return 'no service'
    if any(share.service not in services for share in route.destinations):
        return 'unknown service'
    if route.max_attempts < 1 or route.timeout <= 0:
        return 'no attempt or no time'
    if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
        return 'prefix without slashes'
    return ''


def _limits(raw: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=raw.max_header_bytes,
        body_bytes=raw.max_body_bytes,
        header_seconds=raw.header_timeout_s,
        idle_seconds=raw.idle_timeout_s,
    )
