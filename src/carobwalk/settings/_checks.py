"""Consistency checks across several fields of the settings."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from ipaddress import ip_address
from math import isclose
from typing import Final

from carobwalk.settings._settings import Settings

_MIN_HEARTBEATS_PER_LEASE: Final = 3


@dataclass(frozen=True, slots=True)
class Contradiction:
    """Inconsistency between fields whose values are valid on their own.

    Args:
        path: Field to change, for instance ``listen.peers``.
        found: Present value of the field.
        allowed: Description of the values that the other fields permit.
    """

    path: str
    found: str
    allowed: str


Check = Callable[[Settings], Iterator[Contradiction]]

_checks_by_name: Final[dict[str, Check]] = {}


def register_check(function: Check) -> Check:
    """Register a consistency check, which runs on complete settings."""
    _checks_by_name[function.__name__] = function
    return function


def find_contradictions(settings: Settings) -> Iterator[Contradiction]:
    """Run all registered checks and yield the contradictions found."""
    for function in _checks_by_name.values():
        yield from function(settings)


@register_check
def check_addresses(settings: Settings) -> Iterator[Contradiction]:
    """Check that no two listeners share an address."""
    listen = settings.listen
    if listen.peers == listen.callers:
        yield _duplicate_address('listen.peers', listen.peers)
    if listen.administration in {listen.callers, listen.peers}:
        yield _duplicate_address('listen.administration', listen.administration)


@register_check
def check_peer_address(settings: Settings) -> Iterator[Contradiction]:
    """Check that peers can connect to the address announced to them."""
    host = settings.listen.peers.host
    if ip_address(host).is_unspecified:
        yield Contradiction(
            'listen.peers',
            host,
            'an IP number that other processes can connect to',
        )


@register_check
def check_leases(settings: Settings) -> Iterator[Contradiction]:
    """Check that leases and grants survive a few missed heartbeats."""
    ownership = settings.ownership
    shortest_seconds = ownership.heartbeat_seconds * _MIN_HEARTBEATS_PER_LEASE
    times_by_name = {
        'lease_seconds': ownership.lease_seconds,
        'grant_seconds': ownership.grant_seconds,
    }
    for name, seconds in times_by_name.items():
        if seconds < shortest_seconds and not isclose(
            seconds,
            shortest_seconds,
        ):
            yield Contradiction(
                f'ownership.{name}',
                str(seconds),
                f'at least {shortest_seconds:g} seconds, which is '
                f'{_MIN_HEARTBEATS_PER_LEASE} times heartbeat_seconds',
            )


def _duplicate_address(path: str, address: object) -> Contradiction:
    return Contradiction(path, str(address), 'an address that is not used yet')
