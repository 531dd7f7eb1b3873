"""Text of an explanation of a request."""

from collections.abc import Iterator, Mapping
from typing import Any

_Facts = Mapping[str, Any]


def explained_lines(explained: _Facts) -> Iterator[str]:
    """Return the lines of an explanation.

    Args:
        explained: The explanation as decoded from JSON.
    """
    yield (
        f'configuration {explained["version"]}, '
        f'records current {explained["records_age"]:.3g} s ago, '
        f'digest {_seconds(explained["digest_age"])} old '
        f'with weight {explained["digest_weight"]:.3g}'
    )
    route = explained['route']
    if route is None:
        yield explained['detail']
        return
    regions = route['allowed_regions']
    allowed = 'all' if regions is None else ', '.join(regions) or 'none'
    yield (
        f'route {route["name"]} {route["prefix"]}, {route["repeat_rule"]}, '
        f'rank {route["rank"]}, regions {allowed}'
    )
    if explained['is_quarantined']:
        yield 'refused: the request has crashed backend servers'
    for destination in explained['destinations']:
        yield from _destination_lines(destination)


def _destination_lines(destination: _Facts) -> Iterator[str]:
    yield (
        f'service {destination["service"]}, '
        f'chance {destination["chance"]:.3g}: {destination["outcome"]}, '
        f'{destination["detail"]}, in {_seconds(destination["seconds"])}; '
        f'{destination["waiting"]} waiting'
    )
    owner = destination['owner']
    if owner is not None:
        granted = 'granted' if owner['is_granted'] else 'not granted'
        yield (
            f'  owner {owner["server"]}, {granted}, fence {owner["fence"]}, '
            f'admitted {owner["admitted"]:.3g}'
        )
    for server in destination['servers']:
        yield f'  {_server_text(server)}'


def _server_text(server: _Facts) -> str:
    parts = [
        f'cost {_seconds(server["cost"])}',
        f'{server["in_flight"]} in flight of {server["limit"]:.3g}',
        f'latency {_seconds(server["latency"])} '
        f'seen {_seconds(server["latency_age"])} ago',
        'connected' if server['is_connected'] else 'no connection',
    ]
    if server['estimate_seconds'] is not None:
        parts.append(
            f'digest {_seconds(server["estimate_seconds"])} '
            f'with {server["estimate_in_flight"]:.3g} in flight, '
            f'{_seconds(server["estimate_age"])} old'
        )
    parts.extend(_limit_texts(server))
    rules = ', '.join(server['excluded'])
    state = f'excluded ({rules})' if rules else 'candidate'
    name = f'{server["server"]} in {server["data_centre"]}'
    return f'{name}: {state}; {", ".join(parts)}'


def _limit_texts(server: _Facts) -> Iterator[str]:
    if server['cold_seconds']:
        yield f'cold for {_seconds(server["cold_seconds"])}'
    if server['cold_share'] is not None:
        yield f'cold share {server["cold_share"]:.3g}'
    if server['chance'] is not None:
        yield f'drawn with chance {server["chance"]:.3g}'
    least, most = server['gate_seconds']
    if most:
        yield f'gate opens in {_seconds(least)} to {_seconds(most)}'
    if server['ejected_seconds']:
        yield f'ejected for {_seconds(server["ejected_seconds"])}'


def _seconds(seconds: float | None) -> str:
    return 'unknown' if seconds is None else f'{seconds:.3g} s'
