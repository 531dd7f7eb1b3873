"""Tests of conclusions from the host list."""

from dataclasses import dataclass
from typing import cast

import trio
from result import Ok, Result

from carobwalk.model import (
    Address,
    DataCentreName,
    Endpoint,
    RegionName,
)
from carobwalk.ownership import OwnershipContext, OwnershipTimes
from carobwalk.ownership._host_view import HostView
from carobwalk.store import Host, HostListError

_ABSENCE = OwnershipTimes().absence
_PLACE = Endpoint(
    's1',
    Address('127.0.0.1', 1),
    RegionName('r'),
    DataCentreName('d'),
)
_HOST = Host(_PLACE, None, leaving=False)


@dataclass
class _World:
    """Clock and host list that a test sets, as a context shows them."""

    times: OwnershipTimes
    reading: float = 0
    hosts: tuple[Host, ...] = (_HOST,)

    @property
    def clock(self) -> '_World':
        return self

    @property
    def host_list(self) -> '_World':
        return self

    def now(self) -> float:
        return self.reading

    async def read(self) -> Result[tuple[Host, ...], HostListError]:
        return Ok(self.hosts)


def _view(world: _World, *readings: tuple[float, bool]) -> HostView:
    """Return a view after readings at times, with the host listed or not."""
    view = HostView(cast(OwnershipContext, world))
    for reading, is_listed in readings:
        world.reading = reading
        world.hosts = (_HOST,) if is_listed else ()
        trio.run(view.refresh)
    return view


class TestIsGone:
    def test_absence(self) -> None:
        """A host counts as gone after the absence time, not before."""
        world = _World(OwnershipTimes())
        assert not _view(world, (1, True), (_ABSENCE, False)).is_gone('s1')
        assert _view(world, (1, True), (1 + _ABSENCE, False)).is_gone('s1')

    def test_older_absence(self) -> None:
        """An absence before the record named the holder does not count."""
        world = _World(OwnershipTimes())
        last = 1 + _ABSENCE
        view = _view(world, (1, True), (2, False), (last, False))
        assert not view.is_gone('s1', since=2)
        assert view.is_gone('s1', since=1)

    def test_lag(self) -> None:
        """The absence time exceeds the lag that the list may have."""
        assert _ABSENCE > 5
