"""Decoding and validation of the operator's configuration."""

from typing import Final

import msgspec
from result import Err, Ok, Result

from carobwalk.model import DECODE_ERRORS, RegionName, ServiceName
from carobwalk.platform import _configuration_messages as messages
from carobwalk.routing import (
    CallerLimits,
    Destination,
    RepeatRule,
    Route,
    RoutedService,
    RoutingConfiguration,
    common_regions,
)

CONFIGURATION_PREFIX: Final = 'op/'
CONFIGURATION_NAME: Final = 'op/config'
_VERSION_PREFIX: Final = 'r'
_IDEMPOTENT_KIND: Final = 'idempotent'
_RULE_KINDS: Final = frozenset(('idempotent', 'non_idempotent', 'upload'))
_BULK_KIND: Final = 'upload'
_CONFIGURATION_ERRORS: Final = (*DECODE_ERRORS, ValueError)


class ConfigurationError(msgspec.Struct, frozen=True):
    """The configuration is malformed or invalid.

    Args:
        detail: Description of the first error.
    """

    detail: str


def decode_configuration(
    content: bytes,
) -> Result[RoutingConfiguration, ConfigurationError]:
    """Decode and validate a configuration.

    Args:
        content: Configuration record, in JSON.
    """
    try:
        raw = msgspec.json.decode(content, type=messages.Configuration)
        return _convert(raw)
    except _CONFIGURATION_ERRORS as error:
        return Err(ConfigurationError(str(error)))


def _convert(
    raw: messages.Configuration,
) -> Result[RoutingConfiguration, ConfigurationError]:
    services_by_name = {
        ServiceName(cluster.name): RoutedService(
            name=ServiceName(cluster.name),
            is_keyed=cluster.sharded,
            max_connections=cluster.max_conns,
            warmup_seconds=_positive(cluster.warmup_s),
            warmup_rate=_positive(cluster.warmup_per_s),
        )
        for cluster in raw.clusters
    }
    routes = tuple(
        _convert_rule(listener.host, rule)
        for listener in raw.listeners
        for rule in listener.rule_set
    )
    for route in routes:
        detail = _validation_error(route, frozenset(services_by_name))
        if detail:
            return Err(ConfigurationError(f'route {route.name}: {detail}'))
    return Ok(
        RoutingConfiguration(
            version=_parse_version(raw.version),
            routes=routes,
            services_by_name=services_by_name,
            limits=_convert_limits(raw.limits),
        ),
    )


def _positive(number: float | None) -> float | None:
    """Return a number, ``None`` if it isn't positive and so sets no limit."""
    return number if number and number > 0 else None


def _parse_version(text: str) -> int:
    if not text.startswith(_VERSION_PREFIX):
        raise ValueError(f'invalid version: {text!r}')
    return int(text[len(_VERSION_PREFIX) :])


def _convert_rule(host: str, rule: messages.Rule) -> Route:
    if rule.kind not in _RULE_KINDS:
        raise ValueError(f'unknown kind: {rule.kind!r}')
    action = rule.action
    parts = action.traffic_split or (messages.Part(action.service or ''),)
    is_idempotent = rule.kind == _IDEMPOTENT_KIND
    return Route(
        name=rule.name,
        host=host.lower(),
        prefix=rule.match.prefix,
        repeat_rule=(
            RepeatRule.IDEMPOTENT if is_idempotent else RepeatRule.AT_MOST_ONCE
        ),
        is_bulk=rule.kind == _BULK_KIND,
        rank=rule.priority,
        destinations=tuple(
            Destination(ServiceName(part.service), part.weight)
            for part in parts
            if part.weight > 0
        ),
        timeout=action.timeout_s,
        target_latency=rule.target_latency_s or action.timeout_s,
        max_attempts=action.max_attempts,
        allowed_regions=common_regions(
            _convert_regions(rule.allowed_regions),
            _convert_regions(action.allowed_regions),
        ),
    )


def _convert_regions(
    names: tuple[str, ...] | None,
) -> frozenset[RegionName] | None:
    """Return the allowed regions; an empty list allows all, as none does."""
    return frozenset(map(RegionName, names)) if names else None


def _validation_error(route: Route, services: frozenset[ServiceName]) -> str:
    """Return why a route is invalid, or an empty string if it is valid."""
    if not route.destinations:
        return 'no destination service'
    if any(
        destination.service not in services
        for destination in route.destinations
    ):
        return 'unknown service'
    if route.max_attempts < 1 or route.timeout <= 0:
        return 'max_attempts below 1 or timeout_s not positive'
    if route.allowed_regions is not None and not route.allowed_regions:
        return 'rule and action have no allowed region in common'
    if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
        return 'prefix must start and end with a slash'
    return ''


def _convert_limits(raw: messages.Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=raw.max_header_bytes,
        body_bytes=raw.max_body_bytes,
        header_seconds=raw.header_timeout_s,
        idle_seconds=raw.idle_timeout_s,
    )
