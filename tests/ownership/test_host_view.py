"""Tests of `HostView`."""

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

_ABSENCE = OwnershipTimes().absence_timeout
_ENDPOINT = Endpoint(
    's1',
    Address('127.0.0.1', 1),
    RegionName('r'),
    DataCentreName('d'),
)
_HOST = Host(_ENDPOINT, None, leaving=False)


@dataclass
class _FakeContext:
    """Context with a clock and a host list that a test sets."""

    times: OwnershipTimes
    reading: float = 0
    hosts: tuple[Host, ...] = (_HOST,)

    @property
    def clock(self) -> '_FakeContext':
        return self

    @property
    def host_list(self) -> '_FakeContext':
        return self

    def now(self) -> float:
        return self.reading

    async def read(self) -> Result[tuple[Host, ...], HostListError]:
        return Ok(self.hosts)


def _view(context: _FakeContext, *readings: tuple[float, bool]) -> HostView:
    """Return a view after reads of the list.

    Args:
        context: Context with the clock and the list.
        readings: Time of each read and whether it lists the host.
    """
    view = HostView(cast(OwnershipContext, context))
    for reading, is_listed in readings:
        context.reading = reading
        context.hosts = (_HOST,) if is_listed else ()
        trio.run(view.refresh)
    return view


class TestIsGone:
    def test_absence(self) -> None:
        """A host counts as gone after the absence timeout, not before."""
        context = _FakeContext(OwnershipTimes())
        assert not _view(context, (1, True), (_ABSENCE, False)).is_removed('s1')
        assert _view(context, (1, True), (1 + _ABSENCE, False)).is_removed('s1')

    def test_earlier_absence(self) -> None:
        """An absence before the given time does not count."""
        context = _FakeContext(OwnershipTimes())
        last = 1 + _ABSENCE
        view = _view(context, (1, True), (2, False), (last, False))
        assert not view.is_removed('s1', since=2)
        assert view.is_removed('s1', since=1)

    def test_lag(self) -> None:
        """The absence timeout exceeds the maximum lag of the list, 5 s."""
        assert _ABSENCE > 5
