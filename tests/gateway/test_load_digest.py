"""Digests of the load of servers, and choices by them."""

from dataclasses import replace

import pytest
import trio
from trio.testing import MockClock

from carobwalk.gateway import SampledChoice, ServerEstimate, encode_digest
from carobwalk.gateway.choice._load_digest import decode_digest
from tests.gateway.test_choosers import (
    LOCAL,
    LOCALITY,
    REMOTE,
    ChooserHarness,
    make_request,
)
from tests.keyspace.simulated_fleet import make_server

CALM = ServerEstimate(0.1, 0)
FULL = ServerEstimate(0.1, 12)


class Harness(ChooserHarness):
    """Servers, a digest of them, and the choice by it."""

    def __init__(self, local: int, remote: int = 0) -> None:
        super().__init__(local, remote)
        self.connected: set[str] = set()
        self.sampled = SampledChoice(
            self.loads.shared,
            self.chooser._cost,
            LOCALITY,
            lambda server, request: server.id in self.connected,
        )

    def apply(self, *estimates: ServerEstimate) -> None:
        """Apply a digest with the estimates of the servers, in order."""
        servers = self.directory.all_servers()
        rows = zip(servers, estimates, strict=True)
        digest = encode_digest((one.incarnation, known) for one, known in rows)
        assert self.loads.shared.apply(digest)

    def sample(self, body: bytes = b'') -> set[str | None]:
        """Return the ids of the servers that 50 requests are sent to."""
        servers = self.directory.all_servers()
        chosen = {
            self.sampled.choose(servers, make_request(body)) for _ in range(50)
        }
        return {server and server.id for server in chosen}


@pytest.fixture
def run(virtual_clock: MockClock):
    """Return a function that runs a scenario on a virtual clock."""
    return lambda scenario: trio.run(scenario, clock=virtual_clock)


class TestDigest:
    def test_round_trip(self) -> None:
        """Values keep their precision over the range, six bytes a server."""
        servers = [make_server(number).incarnation for number in range(30)]
        known = [
            ServerEstimate(0.003 * 1.4**number, 0.5 * number)
            for number in range(30)
        ]
        digest = encode_digest(zip(servers, known, strict=True))
        assert len(digest) == 1 + 6 * 30
        decoded = decode_digest(digest).values()
        for estimate, read in zip(known, decoded, strict=True):
            assert read.seconds == pytest.approx(estimate.seconds, rel=0.03)
            assert read.in_flight == pytest.approx(
                estimate.in_flight, rel=0.03, abs=0.05
            )

    @pytest.mark.parametrize('digest', [b'', b'\x02', b'\x01\x00', b'x' * 7])
    def test_foreign(self, digest: bytes) -> None:
        """A digest of another version or length is not used."""
        assert decode_digest(digest) is None


class TestSampledChoice:
    def test_slow_and_full(self, run) -> None:
        """The fast server with free slots is chosen among three."""

        async def scenario() -> None:
            harness = Harness(3)
            harness.apply(FULL, CALM, ServerEstimate(0.3, 0))
            assert harness.sample() == {'s1'}

        run(scenario)

    def test_open_connection(self, run) -> None:
        """Of equal servers, the one with an open connection is chosen."""

        async def scenario() -> None:
            harness = Harness(3)
            harness.apply(CALM, CALM, CALM)
            harness.connected = {'s2'}
            assert harness.sample() == {'s2'}

        run(scenario)

    def test_own_sends(self, run) -> None:
        """Requests sent since the digest count, those in it don't twice."""

        async def scenario() -> None:
            harness = Harness(2)
            first, _ = harness.directory.all_servers()
            harness.loads.start(first)
            harness.apply(ServerEstimate(0.1, 3), ServerEstimate(0.11, 3))
            assert harness.sample() == {'s0'}
            for _ in range(2):
                harness.loads.start(first)
            assert harness.sample() == {'s1'}

        run(scenario)

    def test_home(self, run) -> None:
        """Work leaves for a server elsewhere only if those at home are full.

        Guards against links that are billed by volume carrying requests that
        a slower server at home could run.
        """

        async def scenario() -> None:
            harness = Harness(2, 2)
            slow = ServerEstimate(2.0, 1)
            harness.apply(slow, slow, CALM, CALM)
            assert harness.sample() == {'s0', 's1'}
            harness.apply(FULL, CALM, CALM, CALM)
            assert harness.sample() == {'s1'}
            crowded = ServerEstimate(1.0, 12)
            harness.apply(crowded, crowded, CALM, CALM)
            assert harness.sample() == {'s2', 's3'}
            harness.apply(crowded, crowded, crowded, crowded)
            assert harness.sample() == {'s0', 's1'}
            servers = harness.directory.all_servers()
            assert {one.data_centre for one in servers} == {LOCAL, REMOTE}

        run(scenario)

    def test_age(self, run) -> None:
        """A digest counts for less as it ages, and for nothing from 1.5 s."""

        async def scenario() -> None:
            harness = Harness(3)
            assert harness.sample() == {None}
            harness.apply(CALM, CALM, CALM)
            await trio.sleep(0.7)
            assert None not in harness.sample()
            await trio.sleep(0.4)
            assert harness.sample() > {None}
            await trio.sleep(0.4)
            assert harness.sample() == {None}

        run(scenario)

    def test_restarted_server(self, run) -> None:
        """What is known of an incarnation doesn't apply to the next one."""

        async def scenario() -> None:
            harness = Harness(1)
            harness.apply(CALM)
            server = harness.directory.all_servers()[0]
            assert harness.loads.shared.estimate(server) is not None
            restarted = replace(server, born=2)
            assert harness.loads.shared.estimate(restarted) is None
            harness.directory.put(restarted, 2)
            assert harness.sample() == {None}

        run(scenario)
