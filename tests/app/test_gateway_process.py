"""Tests of a gateway process against a simulated platform."""

import json
import os
import signal
from pathlib import Path

import h11
import pytest
import trio

from carobwalk.app._gateway_process import GatewayProcess
from carobwalk.cli._explained_text import explained_lines
from carobwalk.http import H11Stream, HttpClient, HttpRequest, serve_http
from carobwalk.model import Address
from carobwalk.settings import load_gateway_settings
from standins.platform import (
    KvHandler,
    KvStore,
    PlatformBackend,
    RouterAddresses,
    fill_settings,
)
from standins.processes import find_free_addresses
from tests.gateway.harness import CONFIGURATION, Answer, exchange


class Deployment:
    """Addresses, store and backend server for one gateway process."""

    def __init__(self, folder: Path) -> None:
        self.store = KvStore()
        addresses = iter(find_free_addresses(5))
        self.callers = next(addresses)
        self.readiness = next(addresses)
        self.peers = next(addresses)
        self.metrics = next(addresses)
        self.store_address = next(addresses)
        self.path = folder / 'settings.json5'
        self.path.write_text(
            fill_settings(
                'p1',
                RouterAddresses(
                    callers=self.callers,
                    readiness=self.readiness,
                    peers=self.peers,
                    metrics=self.metrics,
                    store=self.store_address,
                ),
            ),
        )
        self.backend = PlatformBackend('s1')
        self.http = HttpClient()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the store and the backend server, and write their records."""
        listeners = await trio.open_tcp_listeners(
            self.store_address.port,
            host='127.0.0.1',
        )
        nursery.start_soon(serve_http, KvHandler(self.store), listeners)
        backend_listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = backend_listeners[0].socket.getsockname()[1]
        nursery.start_soon(
            trio.serve_listeners,
            self.backend.serve,
            backend_listeners,
        )
        entry = {
            'service': 'reads',
            'address': f'127.0.0.1:{port}',
            'zone': 'dc1',
            'slots': 4,
            'state': 'ready',
            'born': 1,
        }
        self.store.records.put('servers/s1', json.dumps(entry).encode())
        self.store.records.put('servers/odd', b'\xff')
        self.store.records.put('op/config', CONFIGURATION)

    async def get(self, address: Address, path: str) -> tuple[int, bytes]:
        """Send one GET request and return the status and body."""
        sent = await self.http.send(address, HttpRequest('GET', path), 2)
        return sent.ok_value.status, sent.ok_value.body

    async def explain(self, **query: str) -> tuple[int, bytes]:
        """Ask where a request would go; return the status and body."""
        request = HttpRequest('GET', '/explain', {'host': 'a.example', **query})
        sent = await self.http.send(self.metrics, request, 2)
        return sent.ok_value.status, sent.ok_value.body

    async def wait_until_ready(self) -> None:
        """Wait until the readiness check succeeds."""
        while True:
            request = HttpRequest('GET', '/readiness')
            sent = await self.http.send(self.readiness, request, 1)
            if sent.is_ok() and sent.ok_value.status == 200:
                return
            await trio.sleep(0.05)

    async def send_as_caller(self, path: str) -> Answer:
        """Send one GET request as a caller, on a new connection."""
        stream = await trio.open_tcp_stream('127.0.0.1', self.callers.port)
        answer = await exchange(H11Stream(stream, h11.CLIENT), 'GET', path)
        await trio.aclose_forcefully(stream)
        return answer


@pytest.fixture
def run_scenario(tmp_path: Path):
    """Return a function that runs a scenario against a gateway process."""

    def run(scenario) -> Deployment:
        deployment = Deployment(tmp_path)
        settings = load_gateway_settings(deployment.path).ok_value
        stopped = []

        async def serve() -> None:
            stopped.append(
                await GatewayProcess(settings, deployment.path).run(),
            )

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                await deployment.start(nursery)
                nursery.start_soon(serve)
                await deployment.wait_until_ready()
                await scenario(deployment)
                os.kill(os.getpid(), signal.SIGTERM)
                while not stopped:
                    await trio.sleep(0.05)
                nursery.cancel_scope.cancel()

        trio.run(body)
        assert stopped == [True]
        return deployment

    return run


class TestGatewayProcess:
    def test_serves_and_stops_gracefully(self, run_scenario, capfd) -> None:
        """It routes by the records in the store, exports metrics, and stops."""

        async def scenario(deployment: Deployment) -> None:
            assert (await deployment.send_as_caller('/reads/a')).status == 200
            assert (await deployment.send_as_caller('/none')).status == 404
            status, text = await deployment.get(deployment.metrics, '/metrics')
            assert status == 200
            for name in (
                b'carobwalk_request_duration_seconds_bucket',
                b'carobwalk_configuration_version 7.0',
                b'carobwalk_store_calls_total{operation="kv-range"',
                b'carobwalk_backend_servers{service="reads",state="ready"}',
                b'carobwalk_backend_connections_total 1.0',
                b'carobwalk_events_total{event="RequestAnswered"}',
            ):
                assert name in text
            os.kill(os.getpid(), signal.SIGHUP)

        run_scenario(scenario)
        lines = capfd.readouterr().out
        for event in (
            'ProcessStarted',
            'RoutesReplaced version=7',
            'ServerChanged server=s1',
            'ServerEntryDropped name=servers/odd',
            'RequestAnswered request=id1 route=reads',
            'SettingsReloaded is_valid=true',
            'ProcessStopping cause=SIGTERM',
            'ReadinessChanged is_ready=false',
            'ProcessStopped is_graceful=true',
        ):
            assert f'event={event}' in lines

    def test_applies_newer_configuration(self, run_scenario) -> None:
        """A newer configuration is applied, an older one is ignored."""

        async def scenario(deployment: Deployment) -> None:
            records = deployment.store.records
            newer = CONFIGURATION.replace(b'/reads/', b'/moved/')
            records.put('op/config', newer.replace(b'"r7"', b'"r9"'))
            records.put('op/config', CONFIGURATION.replace(b'"r7"', b'"r8"'))
            while (await deployment.send_as_caller('/moved/a')).status != 200:
                await trio.sleep(0.05)
            assert (await deployment.send_as_caller('/reads/a')).status == 404

        run_scenario(scenario)

    def test_reloads_changed_settings(self, run_scenario, capfd) -> None:
        """A modified settings file is reloaded without a signal."""

        async def scenario(deployment: Deployment) -> None:
            text = deployment.path.read_text()
            deployment.path.write_text(text.replace('slack: 64', 'slack: 7'))
            while 'repeat_slack=7' not in capfd.readouterr().out:
                await trio.sleep(0.05)
            deployment.path.write_text('{')
            while 'is_valid=false' not in capfd.readouterr().out:
                await trio.sleep(0.05)

        run_scenario(scenario)

    def test_stays_ready_without_store(self, run_scenario) -> None:
        """Without the store it serves by the last known state, and is ready."""

        async def scenario(deployment: Deployment) -> None:
            deployment.store.is_down = True
            deployment.store.records.notify()
            await trio.sleep(1.5)
            assert (await deployment.send_as_caller('/reads/a')).status == 200
            status, _ = await deployment.get(deployment.readiness, '/readiness')
            assert status == 200

        run_scenario(scenario)

    def test_evacuation(self, run_scenario, capfd) -> None:
        """Without servers elsewhere, an evacuation lets requests be refused.

        Guards against records below ``op/`` of which only the configuration
        is read.
        """

        async def scenario(deployment: Deployment) -> None:
            records = deployment.store.records
            records.put('op/evacuate/dc1', b'')
            while (await deployment.send_as_caller('/reads/a')).status != 503:
                await trio.sleep(0.05)
            answer = await deployment.send_as_caller('/reads/a')
            assert b'evacuated' in answer.body
            _, text = await deployment.get(deployment.metrics, '/metrics')
            name = b'carobwalk_evacuation_data_centres{data_centre="dc1"} 1.0'
            assert name in text
            records.remove('op/evacuate/dc1')
            while (await deployment.send_as_caller('/reads/a')).status != 200:
                await trio.sleep(0.05)

        run_scenario(scenario)
        lines = capfd.readouterr().out
        assert 'event=EvacuationBegun data_centre=dc1 keyed_seconds=' in lines
        assert 'event=EvacuationEnded data_centre=dc1' in lines

    def test_allowed_regions(self, run_scenario) -> None:
        """A rule for another region lets its requests be refused."""

        async def scenario(deployment: Deployment) -> None:
            limited = CONFIGURATION.replace(
                b'"service":"reads"',
                b'"service":"reads","allowed_regions":["r2"]',
            )
            limited = limited.replace(b'"r7"', b'"r8"')
            deployment.store.records.put('op/config', limited)
            while (await deployment.send_as_caller('/reads/a')).status != 503:
                await trio.sleep(0.05)
            answer = await deployment.send_as_caller('/reads/a')
            assert b'allowed regions' in answer.body

        run_scenario(scenario)

    def test_explain(self, run_scenario) -> None:
        """The metrics listener explains where a request would go.

        Guards against explanations that send a request, and against those of
        another state than that of the process.
        """

        async def scenario(deployment: Deployment) -> None:
            assert (await deployment.send_as_caller('/reads/a')).status == 200
            sent = len(deployment.backend.requests)
            status, body = await deployment.explain(path='/reads/a')
            assert status == 200
            explained = json.loads(body)
            assert explained['version'] == 7
            assert 0 <= explained['records_age'] < 5
            assert explained['route']['name'] == 'reads'
            destination = explained['destinations'][0]
            assert destination['outcome'] == 'send'
            assert destination['servers'][0]['server'] == 's1'
            assert destination['servers'][0]['latency_age'] > 0
            lines = '\n'.join(explained_lines(explained))
            assert 's1 in dc1: candidate' in lines
            _, body = await deployment.explain(path='/keyed/a', key='7')
            lines = '\n'.join(explained_lines(json.loads(body)))
            assert 'the key has no owner now' in lines
            assert len(deployment.backend.requests) == sent
            for wrong in ({}, {'path': '/', 'key': '-1'}):
                assert (await deployment.explain(**wrong))[0] == 400
            scraped = await deployment.get(deployment.metrics, '/metrics')
            assert scraped[0] == 200

        run_scenario(scenario)
