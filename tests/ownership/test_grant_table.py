"""Tests of the enforcement of grants by their holder."""

import msgspec
import pytest

from carobwalk.model import FenceToken, ServiceName, ShardNumber
from carobwalk.ownership import (
    FenceOrder,
    GrantOrder,
    GrantReport,
    GrantTable,
    Refusal,
    ReleaseOrder,
    ShardGrant,
)

SERVICE = ServiceName('claims')
SHARD = ShardNumber(3)
GRANT = ShardGrant(SERVICE, SHARD, 1)


def order(
    epoch: int, sequence: int, echo: float, *grants: ShardGrant
) -> GrantOrder:
    """Return a grant order with a time to live of 0.5 s."""
    return GrantOrder(
        group='north-1',
        epoch=epoch,
        sequence=sequence,
        incarnation='a',
        echo=echo,
        ttl=0.5,
        shards=grants,
    )


@pytest.fixture
def table() -> GrantTable:
    """A table with one grant that expires at 10.5."""
    granted = GrantTable('a')
    granted.handle(order(1, 1, 10, GRANT), 10.1)
    return granted


class TestGrantTable:
    def test_counts_from_echo(self, table: GrantTable) -> None:
        """The time to live starts at the echoed time, not on arrival."""
        assert table.admits(SERVICE, SHARD, FenceToken(1, 1), 10.49)
        assert not table.admits(SERVICE, SHARD, FenceToken(1, 1), 10.5)

    def test_delayed_renewal(self, table: GrantTable) -> None:
        """A renewal that arrives late does not revive an expired grant."""
        table.handle(order(1, 2, 10.1, GRANT), 20)
        assert not table.admits(SERVICE, SHARD, FenceToken(1, 1), 20)

    def test_lower_epoch(self, table: GrantTable) -> None:
        """An order of an epoch below the accepted one is refused."""
        table.handle(FenceOrder(group='north-1', epoch=2), 10.2)
        report = table.handle(order(1, 2, 10.2, GRANT), 10.2)
        assert report.refusal is Refusal.EPOCH

    def test_fence_keeps_grant(self, table: GrantTable) -> None:
        """A fence order reports the live grant and does not end it."""
        report = table.handle(FenceOrder(group='north-1', epoch=2), 10.2)
        assert [held.token for held in report.held] == [FenceToken(1, 1)]
        assert table.admits(SERVICE, SHARD, FenceToken(1, 1), 10.3)

    def test_earlier_incarnation(self, table: GrantTable) -> None:
        """An order for an earlier incarnation is refused."""
        restarted = GrantTable('b')
        report = restarted.handle(order(1, 2, 1, GRANT), 10.2)
        assert report.refusal is Refusal.INCARNATION

    def test_reordered(self, table: GrantTable) -> None:
        """An order that arrives after a later one is refused."""
        table.handle(order(1, 3, 10.2), 10.3)
        report = table.handle(order(1, 2, 10.2, GRANT), 10.3)
        assert report.refusal is Refusal.SEQUENCE
        assert not table.owns(SERVICE, SHARD, 10.3)

    def test_unlisted_shard(self, table: GrantTable) -> None:
        """An unlisted shard of an earlier epoch stays granted until expiry."""
        table.handle(order(2, 1, 10.2), 10.2)
        assert table.owns(SERVICE, SHARD, 10.4)
        assert not table.owns(SERVICE, SHARD, 10.5)

    def test_current_token(self, table: GrantTable) -> None:
        """A renewal in a new epoch invalidates the token of the earlier one."""
        table.handle(order(2, 1, 10.2, GRANT), 10.2)
        assert table.admits(SERVICE, SHARD, FenceToken(2, 1), 10.3)
        assert not table.admits(SERVICE, SHARD, FenceToken(1, 1), 10.3)
        assert not table.admits(SERVICE, SHARD, FenceToken(2, 2), 10.3)

    def test_release_drains(self, table: GrantTable) -> None:
        """A released shard stays held until its last request has ended."""
        table.begin(SERVICE, SHARD)
        release = ReleaseOrder(
            group='north-1',
            epoch=1,
            sequence=2,
            incarnation='a',
            shards=(GRANT,),
        )
        report = table.handle(release, 10.2)
        assert report.held[0].draining
        assert not table.admits(SERVICE, SHARD, FenceToken(1, 1), 10.2)
        table.finish(SERVICE, SHARD)
        fence = FenceOrder(group='north-1', epoch=1)
        assert not table.handle(fence, 10.3).held

    def test_json(self, table: GrantTable) -> None:
        """Decoding an encoded report returns the report."""
        report = table.handle(FenceOrder(group='north-1', epoch=2), 10.2)
        encoded = msgspec.json.encode(report)
        assert msgspec.json.decode(encoded, type=GrantReport) == report
