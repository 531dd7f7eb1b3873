"""Tests of the begin of unbroken leases."""

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
from carobwalk.ownership._gates import Gates
from carobwalk.ownership._map_leases import MapLeases
from carobwalk.ownership._map_placements import MapPlacements
from carobwalk.ownership._map_push import MapPush
from carobwalk.ownership._shard_maps import ShardMaps

_SERVER = ServerId('s1')
_SERVICE = ServiceName('bundle-intake')
_TTL = 0.6
LATER = 1.7
AGAIN = 1.2


@dataclass
class _Clock:
    """Clock that a test sets."""

    reading: float = 0

    def now(self) -> float:
        return self.reading


def _place(name: str) -> Endpoint:
    return Endpoint(
        name,
        Address('127.0.0.1', 1),
        RegionName('r'),
        DataCentreName('d'),
    )


class _Entry:
    """Shard maps of one entry, fed with pushes."""

    def __init__(self) -> None:
        self.clock = _Clock()
        self.sequence = 0
        context = cast(
            OwnershipContext,
            _Context(_place('e1'), self.clock, NullEventLog()),
        )
        self.maps = ShardMaps(context)
        self.leases = MapLeases(
            context,
            self.maps,
            MapPlacements(context, self.maps),
            Gates(context, self.maps),
        )

    def push(self, at: float, epoch: int, *leases: ServerId) -> None:
        """Receive a push that gives leases."""
        self.clock.reading = at
        self.sequence += 1
        self.maps.receive(
            MapPush(
                group='r/d',
                epoch=epoch,
                revision=1,
                sequence=self.sequence,
                base=0,
                coordinator=_place('e2'),
                leases=leases,
                echo=at,
                ttl=_TTL,
            ),
        )

    def held_since(self) -> float:
        """Return the begin of the lease on the server."""
        return self.leases.held_since(_SERVER, _SERVICE, None)

    def token(self) -> object:
        """Return the token of the lease on the server."""
        return self.leases.authorise(_SERVER, _SERVICE, None)


@dataclass
class _Context:
    """The part of a context that the maps read."""

    own: Endpoint
    clock: _Clock
    events: NullEventLog


class TestHeldSince:
    def test_renewal(self) -> None:
        """Renewals, also under a new epoch, do not begin anew."""
        entry = _Entry()
        entry.push(1, 1, _SERVER)
        entry.push(1.5, 1, _SERVER)
        entry.push(2, 2, _SERVER)
        assert entry.held_since() == 1

    def test_lapse(self) -> None:
        """A lease that lapsed begins anew, with another token."""
        entry = _Entry()
        entry.push(1, 1, _SERVER)
        before = entry.token()
        entry.push(LATER, 1, _SERVER)
        assert entry.held_since() == LATER
        assert entry.token() != before

    def test_another_dispatcher(self) -> None:
        """A lease that was elsewhere in between begins anew."""
        entry = _Entry()
        entry.push(1, 1, _SERVER)
        before = entry.token()
        entry.push(1.1, 1)
        entry.push(AGAIN, 1, _SERVER)
        assert entry.held_since() == AGAIN
        assert entry.token() != before

    def test_none(self) -> None:
        """Without a lease nothing is held."""
        entry = _Entry()
        entry.push(1, 1)
        entry.clock.reading = 5
        assert entry.held_since() == 5
