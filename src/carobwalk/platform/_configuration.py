"""Decoding of the operator's configuration."""

from typing import Final

import msgspec
from result import Err, Ok, Result

from carobwalk.model import ServiceName
from carobwalk.platform import _configuration_messages as messages
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
        raw = msgspec.json.decode(content, type=messages.Configuration)
        return _convert(raw)
    except (msgspec.MsgspecError, ValueError) as error:
        return Err(ConfigurationError(str(error)))


def _convert(
    raw: messages.Configuration,
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


def _route(host: str, rule: messages.Rule) -> Route:
    if rule.kind not in _KINDS:
        raise ValueError(f'unknown kind: {rule.kind!r}')
    action = rule.action
    parts = action.traffic_split or (messages.Part(action.service or ''),)
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


def _limits(raw: messages.Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=raw.max_header_bytes,
        body_bytes=raw.max_body_bytes,
        header_seconds=raw.header_timeout_s,
        idle_seconds=raw.idle_timeout_s,
    )
