"""Tests of the metrics of events and store calls."""

from collections import Counter
from dataclasses import dataclass

import pytest
import trio
from prometheus_client.parser import text_string_to_metric_families
from result import Err

from carobwalk.dispatch._events import RequestEnded, RequestSuspected
from carobwalk.events import Event
from carobwalk.metrics import CountingEventLog, MeteredStore, Metrics
from carobwalk.metrics._metered_store import _result_label
from carobwalk.metrics.recorders import recorders_by_event
from carobwalk.model import ServerId, ServiceName, ShardNumber
from carobwalk.ownership._events import (
    CoordinatorDeposed,
    ShardActivated,
    ShardLapsed,
    ShardReleased,
    ShardTakenOver,
)
from carobwalk.store import (
    Conflict,
    LeaseId,
    LeaseLost,
    StoreFailure,
    Unanswered,
    Unavailable,
)
from standins.memory_store import MemoryStore
from tests.recording_log import RecordingLog

SERVICE = ServiceName('dat-hang')
SHARD = ShardNumber(3)
GROUP = 'north/north-a'


class _ManualClock:
    """Clock that a test sets."""

    def __init__(self) -> None:
        self.seconds: float = 0

    def now(self) -> float:
        return self.seconds


@dataclass(frozen=True, slots=True)
class PlainEvent(Event):
    """Event without a recorder, counted only by its name."""


def _activated(server: str) -> ShardActivated:
    return ShardActivated(
        group=GROUP,
        epoch=1,
        sequence=1,
        service=SERVICE,
        shard=SHARD,
        server=ServerId(server),
    )


def _taken_over(server: str | None) -> ShardTakenOver:
    return ShardTakenOver(
        group=GROUP,
        epoch=2,
        service=SERVICE,
        shard=SHARD,
        server=None if server is None else ServerId(server),
    )


def _lapsed(server: str) -> ShardLapsed:
    return ShardLapsed(
        group=GROUP,
        epoch=1,
        service=SERVICE,
        shard=SHARD,
        server=ServerId(server),
    )


def _released(server: str) -> ShardReleased:
    return ShardReleased(
        group=GROUP,
        epoch=1,
        service=SERVICE,
        shard=SHARD,
        server=ServerId(server),
    )


class _CountingLogHarness:
    """Counting event log on a clock that a test sets."""

    def __init__(self) -> None:
        self.metrics = Metrics('e1')
        self.clock = _ManualClock()
        self.inner_log = RecordingLog()
        self.log = CountingEventLog(
            self.inner_log,
            self.metrics,
            self.clock,
            recorders_by_event,
        )

    def emit_at(self, seconds: float, event: Event) -> None:
        self.clock.seconds = seconds
        self.log.emit(event)

    def total(self, name: str) -> float:
        """Return the sum of all series of a counter."""
        families = text_string_to_metric_families(
            self.metrics.render().decode(),
        )
        return sum(
            sample.value
            for family in families
            for sample in family.samples
            if sample.name == name
        )


@pytest.fixture
def harness() -> _CountingLogHarness:
    """A counting event log with its clock and metrics."""
    return _CountingLogHarness()


class TestCountingEventLog:
    def test_counts_by_name(self, harness: _CountingLogHarness) -> None:
        """Each event is passed on and counted by its name."""
        harness.log.emit(PlainEvent())
        harness.log.emit(PlainEvent())
        assert harness.inner_log.events == [PlainEvent(), PlainEvent()]
        assert harness.total('carobwalk_events_total') == 2

    def test_retries(self, harness: _CountingLogHarness) -> None:
        """The sends after the first one of a request are retries."""
        for sends in (0, 1, 3):
            harness.log.emit(
                RequestEnded(
                    request='r',
                    service=SERVICE,
                    server='s1',
                    rank='lookup',
                    outcome='complete',
                    kind='',
                    sends=sends,
                    seconds=0.1,
                ),
            )
        assert harness.total('carobwalk_retries_total') == 2

    def test_quarantines(self, harness: _CountingLogHarness) -> None:
        """Only a convicted request counts as quarantined."""
        for convicted in (False, True):
            harness.log.emit(RequestSuspected('r', SERVICE, 's1', 1, convicted))
        assert harness.total('carobwalk_quarantines_total') == 1

    def test_planned_move(self, harness: _CountingLogHarness) -> None:
        """A planned move counts once, with the time without an owner."""
        harness.emit_at(1, _activated('s1'))
        harness.emit_at(5, _released('s1'))
        harness.emit_at(5.25, _activated('s2'))
        assert harness.total('carobwalk_shards_moved_total') == 1
        unavailable = 'carobwalk_shards_unavailable_seconds_total'
        assert harness.total(unavailable) == pytest.approx(0.25)

    def test_same_owner_returns(self, harness: _CountingLogHarness) -> None:
        """A shard that returns to its owner was unavailable but not moved."""
        harness.emit_at(1, _activated('s1'))
        harness.emit_at(2, _lapsed('s1'))
        harness.emit_at(3, _lapsed('s1'))
        harness.emit_at(4, _activated('s1'))
        assert harness.total('carobwalk_shards_moved_total') == 0
        unavailable = 'carobwalk_shards_unavailable_seconds_total'
        assert harness.total(unavailable) == pytest.approx(2)

    def test_takeover(self, harness: _CountingLogHarness) -> None:
        """A new coordinator counts from the owners that it found."""
        harness.emit_at(1, _taken_over(None))
        harness.emit_at(2, _activated('s1'))
        harness.emit_at(3, _taken_over('s2'))
        assert harness.total('carobwalk_shards_moved_total') == 1
        unavailable = 'carobwalk_shards_unavailable_seconds_total'
        assert harness.total(unavailable) == pytest.approx(1)

    def test_coordinator_deposed(self, harness: _CountingLogHarness) -> None:
        """The time under another coordinator is not counted."""
        harness.emit_at(1, _lapsed('s1'))
        harness.emit_at(2, CoordinatorDeposed(group=GROUP, epoch=1, cause='x'))
        harness.emit_at(900, _taken_over('s2'))
        unavailable = 'carobwalk_shards_unavailable_seconds_total'
        assert harness.total(unavailable) == 0


async def _use_store(metrics: Metrics) -> None:
    store = MeteredStore(MemoryStore().client(), metrics)
    lease = (await store.open_lease(5)).unwrap()
    assert (await store.keep_alive(lease)).is_ok()
    assert (await store.write('a', b'1', 0)).is_ok()
    assert (await store.write('a', b'2', 0)).is_err()
    assert (await store.read('a')).unwrap().content == b'1'
    assert len((await store.read_prefix('a')).unwrap()) == 1
    assert len((await store.watch('a', 0, 1)).unwrap()) == 1
    assert (await store.delete('a', 1)).is_ok()


class TestMeteredStore:
    @pytest.mark.parametrize(
        ('failure', 'kind'),
        [
            (Unavailable('refused'), 'unavailable'),
            (Unanswered('timeout'), 'unanswered'),
            (Conflict(None), 'conflict'),
            (LeaseLost(LeaseId('l')), 'lease-lost'),
        ],
    )
    def test_failures(self, failure: StoreFailure, kind: str) -> None:
        """Each kind of failure has its own label."""
        assert _result_label(Err(failure)) == kind

    def test_calls(self) -> None:
        """Every call is passed on and counted by operation and result."""
        metrics = Metrics('e1')
        trio.run(_use_store, metrics)
        families = text_string_to_metric_families(metrics.render().decode())
        counts = Counter(
            {
                (sample.labels['operation'], sample.labels['result']): int(
                    sample.value,
                )
                for family in families
                for sample in family.samples
                if sample.name == 'carobwalk_store_calls_total'
            },
        )
        assert counts == {
            ('open-lease', 'ok'): 1,
            ('keep-alive', 'ok'): 1,
            ('write', 'ok'): 1,
            ('write', 'conflict'): 1,
            ('read', 'ok'): 1,
            ('read-prefix', 'ok'): 1,
            ('watch', 'ok'): 1,
            ('delete', 'ok'): 1,
        }
