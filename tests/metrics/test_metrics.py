"""Tests of the metrics and the scrape handler."""

import random
from collections import Counter

import pytest
import trio
from prometheus_client.parser import text_string_to_metric_families

from carobwalk.http import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    serve_http,
)
from carobwalk.metrics import (
    GatewayMeter,
    Measurement,
    Metrics,
    ObservableInstrument,
    ScrapeHandler,
    cpu_seconds,
    resident_bytes,
)
from carobwalk.metrics._labelled_counter import MAX_SERIES
from carobwalk.model import Address, Outcome, Rank, ServiceName

SERVICE = ServiceName('dat-hang')
SeriesKey = tuple[str, frozenset[tuple[str, str]]]


def _scrape(metrics: Metrics) -> dict[SeriesKey, float]:
    """Parse the rendered text into the value of each series."""
    families = text_string_to_metric_families(metrics.render().decode())
    return {
        (sample.name, frozenset(sample.labels.items())): sample.value
        for family in families
        for sample in family.samples
    }


def _value(metrics: Metrics, name: str, **labels: str) -> float:
    return _scrape(metrics)[name, frozenset(labels.items())]


@pytest.fixture
def metrics() -> Metrics:
    """Metrics of a process, separate from those of other tests."""
    return Metrics('e1')


class TestRequests:
    def test_counts_and_sums(self, metrics: Metrics) -> None:
        """Counts and sums equal those of a direct count of all requests."""
        rng = random.Random(1)
        counts: Counter[tuple[Rank, Outcome]] = Counter()
        sums: Counter[tuple[Rank, Outcome]] = Counter()
        for _ in range(2000):
            pair = rng.choice(list(Rank)), rng.choice(list(Outcome))
            milliseconds = rng.randrange(4000)
            counts[pair] += 1
            sums[pair] += milliseconds
            metrics.record_request(SERVICE, *pair, milliseconds / 1000)
        scraped = _scrape(metrics)
        name = 'carobwalk_request_duration_seconds'
        for (rank, outcome), count in counts.items():
            labels = frozenset(
                {'service': SERVICE, 'rank': rank, 'outcome': outcome}.items(),
            )
            assert scraped[f'{name}_count', labels] == count
            total = scraped[f'{name}_sum', labels]
            assert round(total * 1000) == sums[rank, outcome]

    def test_buckets(self, metrics: Metrics) -> None:
        """Lookups of 3 ms and 30 ms are in different buckets."""
        for seconds in (0.003, 0.03, 0.03):
            metrics.record_request(
                SERVICE,
                Rank.LOOKUP,
                Outcome.COMPLETE,
                seconds,
            )
        labels = {
            'service': SERVICE,
            'rank': 'lookup',
            'outcome': 'complete',
        }
        name = 'carobwalk_request_duration_seconds_bucket'
        assert _value(metrics, name, le='0.005', **labels) == 1
        assert _value(metrics, name, le='0.05', **labels) == 3


class TestCounters:
    def test_counters(self, metrics: Metrics) -> None:
        """Each counter reports the recorded amounts under its labels."""
        metrics.record_retry(SERVICE)
        metrics.record_quarantine(SERVICE)
        metrics.record_store_call('write', 'conflict')
        metrics.record_store_call('write', 'conflict')
        metrics.record_event('ShardMoved')
        metrics.record_moved_shards(SERVICE, 12)
        metrics.record_unavailable_seconds(SERVICE, 2.5)
        service = {'service': SERVICE}
        write = {'operation': 'write', 'result': 'conflict'}
        found = _scrape(metrics)
        expected = (
            ('carobwalk_retries_total', service, 1),
            ('carobwalk_quarantines_total', service, 1),
            ('carobwalk_store_calls_total', write, 2),
            ('carobwalk_events_total', {'event': 'ShardMoved'}, 1),
            ('carobwalk_shards_moved_total', service, 12),
            ('carobwalk_shards_unavailable_seconds_total', service, 2.5),
        )
        for name, labels, count in expected:
            assert found[name, frozenset(labels.items())] == count

    def test_max_series(self, metrics: Metrics) -> None:
        """Series beyond the limit are summed in one series."""
        for number in range(MAX_SERIES + 50):
            metrics.record_retry(ServiceName(f's{number}'))
        name = 'carobwalk_retries_total'
        retries = {
            labels: count
            for (series, labels), count in _scrape(metrics).items()
            if series == name
        }
        assert len(retries) <= MAX_SERIES + 1
        assert sum(retries.values()) == MAX_SERIES + 50

    def test_second_scrape(self, metrics: Metrics) -> None:
        """Counters accumulate over scrapes."""
        metrics.record_retry(SERVICE)
        metrics.render()
        metrics.record_retry(SERVICE)
        name = 'carobwalk_retries_total'
        assert _value(metrics, name, service=SERVICE) == 2


class TestObservableInstruments:
    def test_read_at_scrape(self, metrics: Metrics) -> None:
        """Values are read at the time of the scrape."""
        values = [1.0, 10.0]
        metrics.register_observable(
            ObservableInstrument(
                name='queue.length',
                description='Requests that wait.',
                read=lambda: [Measurement(values[0], {'server': 's1'})],
            ),
        )
        metrics.register_observable(
            ObservableInstrument(
                name='peer',
                description='Bytes exchanged with other processes.',
                read=lambda: [Measurement(values[1], {'direction': 'sent'})],
                unit='By',
                is_monotonic=True,
            ),
        )
        values[0] = 7
        values[1] = 12
        assert _value(metrics, 'carobwalk_queue_length', server='s1') == 7
        sent = _value(metrics, 'carobwalk_peer_bytes_total', direction='sent')
        assert sent == 12

    def test_process(self, metrics: Metrics) -> None:
        """Processor time and resident memory of the process are reported."""
        before = cpu_seconds()
        shown = _value(metrics, 'carobwalk_process_cpu_seconds_total')
        assert before <= shown <= cpu_seconds()
        resident = _value(metrics, 'carobwalk_process_resident_bytes')
        assert resident == pytest.approx(resident_bytes(), rel=0.5)


class TestScrapeHandler:
    @pytest.mark.parametrize(
        ('method', 'path', 'status'),
        [
            ('GET', '/metrics', 200),
            ('GET', '/other', 404),
            ('POST', '/metrics', 405),
        ],
    )
    def test_status(
        self,
        metrics: Metrics,
        method: str,
        path: str,
        status: int,
    ) -> None:
        """Only a GET of the scrape path is answered with metrics."""
        handler = ScrapeHandler(metrics)
        response = trio.run(handler, HttpRequest(method, path))
        assert response.status == status

    def test_over_tcp(self, metrics: Metrics) -> None:
        """A scraper gets the text over the process's own listener."""
        metrics.record_retry(SERVICE)
        response = trio.run(_scrape_over_tcp, metrics)
        assert response.status == 200
        assert response.headers['content-type'].startswith('text/plain')
        assert b'carobwalk_retries_total{service="dat-hang"} 1.0' in (
            response.body
        )


async def _scrape_over_tcp(metrics: Metrics) -> HttpResponse:
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_http, ScrapeHandler(metrics), listeners)
        answer = await HttpClient().send(
            Address('127.0.0.1', port),
            HttpRequest('GET', '/metrics'),
            5,
        )
        nursery.cancel_scope.cancel()
    return answer.unwrap()


class TestRefusals:
    def test_by_rank(self) -> None:
        """Refusals tell the rank that was refused."""
        metrics = Metrics('p')
        meter = GatewayMeter(metrics)
        meter.record_refusal('a', 'full', 2)
        meter.record_refusal('', 'no configuration yet')
        counted = {
            labels: total
            for (name, labels), total in _scrape(metrics).items()
            if name == 'carobwalk_refusals_total'
        }
        ranks = {dict(labels)['rank'] for labels in counted}
        assert ranks == {'2', ''}
