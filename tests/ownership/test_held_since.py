"""Tests of the start of uninterrupted leases."""

from dataclasses import dataclass
from typing import cast

from carobwalk.events import NullEventLog
from carobwalk.model import (
    Address,
    DataCentreName,
    Endpoint,
    RegionName,
    ServerId,
    ServiceName,
)
from carobwalk.ownership import OwnershipContext
from carobwalk.ownership._delegated_grants import DelegatedGrants
from carobwalk.ownership._map_leases import MapLeases
from carobwalk.ownership._map_placements import MapPlacements
from carobwalk.ownership._map_push import MapPush
from carobwalk.ownership._shard_maps import ShardMaps

_SERVER = ServerId('s1')
_SERVICE = ServiceName('bundle-intake')
_TTL = 0.6
AFTER_EXPIRY = 1.7
REGRANTED_AT = 1.2


@dataclass
class _Clock:
    """Clock whose time a test sets."""

    reading: float = 0

    def now(self) -> float:
        return self.reading


def _endpoint(name: str) -> Endpoint:
    return Endpoint(
        name,
        Address('127.0.0.1', 1),
        RegionName('r'),
        DataCentreName('d'),
    )


class _Entry:
    """Shard maps and leases of one entry that receives pushes."""

    def __init__(self) -> None:
        self.clock = _Clock()
        self.sequence = 0
        context = cast(
            OwnershipContext,
            _Context(_endpoint('e1'), self.clock, NullEventLog()),
        )
        self.maps = ShardMaps(context)
        self.leases = MapLeases(
            context,
            self.maps,
            MapPlacements(context, self.maps),
            DelegatedGrants(context, self.maps),
        )

    def push(self, at: float, epoch: int, *leases: ServerId) -> None:
        """Receive a push that grants leases."""
        self.clock.reading = at
        self.sequence += 1
        self.maps.receive(
            MapPush(
                group='r/d',
                epoch=epoch,
                revision=1,
                sequence=self.sequence,
                base=0,
                coordinator=_endpoint('e2'),
                leases=leases,
                echo=at,
                ttl=_TTL,
            ),
        )

    def held_since(self) -> float:
        """Return the start of the lease on the server."""
        return self.leases.held_since(_SERVER, _SERVICE, None)

    def token(self) -> object:
        """Return the token of the lease on the server."""
        return self.leases.authorise(_SERVER, _SERVICE, None)


@dataclass
class _Context:
    """The part of an `OwnershipContext` that the shard maps use."""

    own: Endpoint
    clock: _Clock
    events: NullEventLog


class TestHeldSince:
    def test_renewal(self) -> None:
        """A renewal, also in a new epoch, keeps the start of the lease."""
        entry = _Entry()
        entry.push(1, 1, _SERVER)
        entry.push(1.5, 1, _SERVER)
        entry.push(2, 2, _SERVER)
        assert entry.held_since() == 1

    def test_expiry(self) -> None:
        """A lease granted again after expiry has a new start and token."""
        entry = _Entry()
        entry.push(1, 1, _SERVER)
        before = entry.token()
        entry.push(AFTER_EXPIRY, 1, _SERVER)
        assert entry.held_since() == AFTER_EXPIRY
        assert entry.token() != before

    def test_another_dispatcher(self) -> None:
        """A lease granted again after another dispatcher's has a new start."""
        entry = _Entry()
        entry.push(1, 1, _SERVER)
        before = entry.token()
        entry.push(1.1, 1)
        entry.push(REGRANTED_AT, 1, _SERVER)
        assert entry.held_since() == REGRANTED_AT
        assert entry.token() != before

    def test_none(self) -> None:
        """Without a lease the current time is returned."""
        entry = _Entry()
        entry.push(1, 1)
        entry.clock.reading = 5
        assert entry.held_since() == 5
