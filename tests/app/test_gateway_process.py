"""A whole process on stand-ins of the users' platform."""

import json
import os
import signal
from pathlib import Path

import h11
import pytest
import trio

from carobwalk.app._gateway_process import GatewayProcess
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
    """A store, a backend server and one process on loopback."""

    def __init__(self, folder: Path) -> None:
        self.store = KvStore()
        addresses = iter(find_free_addresses(5))
        self.callers = next(addresses)
        self.ready = next(addresses)
        self.peers = next(addresses)
        self.metrics = next(addresses)
        self.address = next(addresses)
        self.path = folder / 'settings.json5'
        self.path.write_text(
            fill_settings(
                'p1',
                RouterAddresses(
                    callers=self.callers,
                    readiness=self.ready,
                    peers=self.peers,
                    metrics=self.metrics,
                    store=self.address,
                ),
            ),
        )
        self.backend = PlatformBackend('s1')
        self.http = HttpClient()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the stand-ins and register the backend server."""
        listeners = await trio.open_tcp_listeners(
            self.address.port,
            host='127.0.0.1',
        )
        nursery.start_soon(serve_http, KvHandler(self.store), listeners)
        servers = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = servers[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self.backend.serve, servers)
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
        """Send one request to the process."""
        sent = await self.http.send(address, HttpRequest('GET', path), 2)
        return sent.ok_value.status, sent.ok_value.body

    async def wait_until_ready(self) -> None:
        """Wait until the process takes callers."""
        while True:
            request = HttpRequest('GET', '/readiness')
            sent = await self.http.send(self.ready, request, 1)
            if sent.is_ok() and sent.ok_value.status == 200:
                return
            await trio.sleep(0.05)

    async def ask(self, path: str) -> Answer:
        """Send one request as a caller."""
        stream = await trio.open_tcp_stream('127.0.0.1', self.callers.port)
        answer = await exchange(H11Stream(stream, h11.CLIENT), 'GET', path)
        await trio.aclose_forcefully(stream)
        return answer


@pytest.fixture
def play(tmp_path: Path):
    """Return a function that plays a story with a whole process."""

    def run(story) -> Deployment:
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
                await story(deployment)
                os.kill(os.getpid(), signal.SIGTERM)
                while not stopped:
                    await trio.sleep(0.05)
                nursery.cancel_scope.cancel()

        trio.run(body)
        assert stopped == [True]
        return deployment

    return run


class TestGatewayProcess:
    def test_serves_and_stops(self, play, capfd) -> None:
        """It serves by the store's records, tells metrics, and stops."""

        async def story(deployment: Deployment) -> None:
            assert (await deployment.ask('/reads/a')).status == 200
            assert (await deployment.ask('/none')).status == 404
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

        play(story)
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

    def test_new_configuration(self, play) -> None:
        """A newer configuration is in force soon, an older one never."""

        async def story(deployment: Deployment) -> None:
            records = deployment.store.records
            newer = CONFIGURATION.replace(b'/reads/', b'/moved/')
            records.put('op/config', newer.replace(b'"r7"', b'"r9"'))
            records.put('op/config', CONFIGURATION.replace(b'"r7"', b'"r8"'))
            while (await deployment.ask('/moved/a')).status != 200:
                await trio.sleep(0.05)
            assert (await deployment.ask('/reads/a')).status == 404

        play(story)

    def test_changed_settings(self, play, capfd) -> None:
        """A changed settings file is read without a signal."""

        async def story(deployment: Deployment) -> None:
            text = deployment.path.read_text()
            deployment.path.write_text(text.replace('slack: 64', 'slack: 7'))
            while 'repeat_slack=7' not in capfd.readouterr().out:
                await trio.sleep(0.05)
            deployment.path.write_text('{')
            while 'is_valid=false' not in capfd.readouterr().out:
                await trio.sleep(0.05)

        play(story)

    def test_store_away(self, play) -> None:
        """Without the store it goes on with what it knows, and is ready."""

        async def story(deployment: Deployment) -> None:
            deployment.store.is_down = True
            deployment.store.records.wake()
            await trio.sleep(1.5)
            assert (await deployment.ask('/reads/a')).status == 200
            status, _ = await deployment.get(deployment.ready, '/readiness')
            assert status == 200

        play(story)
