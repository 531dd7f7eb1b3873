"""Checks across the fields of the settings."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from ipaddress import ip_address
from math import isclose
from typing import Final

from carobwalk.settings._settings import Settings

_HEARTBEATS_PER_LEASE: Final = 3


@dataclass(frozen=True, slots=True)
class Contradiction:
    """Fields that are each allowed, but not together.

    Args:
        path: Field to change.
        found: What it is now.
        allowed: What the other fields allow.
    """

    path: str
    found: str
    allowed: str


Check = Callable[[Settings], Iterator[Contradiction]]

_checks_by_name: Final[dict[str, Check]] = {}


def check(function: Check) -> Check:
    """Register a check of whole settings."""
    _checks_by_name[function.__name__] = function
    return function


def find_contradictions(settings: Settings) -> Iterator[Contradiction]:
    """Yield the contradictions that all registered checks find."""
    for function in _checks_by_name.values():
        yield from function(settings)


@check
def check_addresses(settings: Settings) -> Iterator[Contradiction]:
    """Check that each listening address is used once."""
    listen = settings.listen
    if listen.peers == listen.callers:
        yield _taken('listen.peers', listen.peers)
    if listen.administration in {listen.callers, listen.peers}:
        yield _taken('listen.administration', listen.administration)


@check
def check_peer_address(settings: Settings) -> Iterator[Contradiction]:
    """Check that other processes can connect to the address for peers."""
    host = settings.listen.peers.host
    if ip_address(host).is_unspecified:
        yield Contradiction(
            'listen.peers',
            host,
            'an IP number that other processes can connect to',
        )


@check
def check_leases(settings: Settings) -> Iterator[Contradiction]:
    """Check that a lease outlives the loss of some renewals."""
    ownership = settings.ownership
    shortest = ownership.heartbeat_seconds * _HEARTBEATS_PER_LEASE
    times_by_name = {
        'lease_seconds': ownership.lease_seconds,
        'grant_seconds': ownership.grant_seconds,
    }
    for name, seconds in times_by_name.items():
        if seconds < shortest and not isclose(seconds, shortest):
            yield Contradiction(
                f'ownership.{name}',
                str(seconds),
                f'at least {shortest:g} seconds, which is '
                f'{_HEARTBEATS_PER_LEASE} times heartbeat_seconds',
            )


def _taken(path: str, address: object) -> Contradiction:
    return Contradiction(path, str(address), 'an address that is not used yet')
