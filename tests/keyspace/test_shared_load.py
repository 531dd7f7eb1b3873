"""Load that all processes observe: choices by it, and faults of its parts."""

import sys
from functools import cache
from types import MappingProxyType

import pytest
import trio
from trio.testing import MockClock

from carobwalk.directory import ServerIncarnation
from carobwalk.keyspace import FleetLoad
from tests.keyspace.scripted_load import (
    PROCESSES,
    WARM_UP_SECONDS,
    Outcome,
    Process,
    Scene,
    choose_new,
    choose_of_two,
    choose_perfect,
    choose_previous,
    mean,
    noisy_periods,
)

SEED = 1
SECONDS = 11
# Servers that slow down at once: the queue of a single one varies by chance.
SLOWED = 4
# Part of the work that the calm load and the burst take of all slots: 0.41 and
# 0.71.
CALM = 546
BURST = 950
CHOICES = MappingProxyType(
    {
        'previous': choose_previous,
        'of two': choose_of_two,
        'perfect': choose_perfect,
        'new': choose_new,
    }
)


def _show(line: str) -> None:
    sys.stdout.write(f'{line}\n')


@cache
def _compare(load: str) -> dict[str, Outcome]:
    """Run a load with each choice and print the figures."""
    prepare, rate = LOADS[load]
    _show(load)
    outcomes = {name: _run(name, prepare, rate) for name in CHOICES}
    new = outcomes['new']
    processes = PROCESSES * SECONDS
    _show(
        f'{new.report_bytes / processes:.0f} bytes of reports and '
        f'{new.receipt_bytes / processes:.0f} of receipts a second and '
        f'process; coordinator {new.coordinator_seconds / SECONDS:.4f} '
        'of a processor'
    )
    return outcomes


def _run(name: str, prepare=None, rate: float = CALM, **sizes) -> Outcome:
    clock = MockClock()

    async def main() -> Outcome:
        scene = Scene(clock, SEED, **sizes)
        if prepare is not None:
            prepare(scene)
        return await scene.run(CHOICES[name], SECONDS, lambda now: rate)

    outcome = trio.run(main, clock=clock)
    _show(outcome.line(name))
    return outcome


def _make_noisy(scene: Scene) -> None:
    for number, server in enumerate(scene.servers.values()):
        server.slowness = noisy_periods(number, SECONDS)


def _make_crowded(scene: Scene) -> None:
    for server in scene.servers.values():
        server.crowding = 1


LOADS = MappingProxyType(
    {
        'calm': (None, CALM),
        'burst': (None, BURST),
        'noisy': (_make_noisy, CALM),
    }
)


class TestScriptedLoad:
    @pytest.mark.parametrize('name', ['calm', 'burst', 'noisy'])
    def test_p99(self, name: str) -> None:
        """The p99 is within 1.15 of the one with perfect knowledge."""
        outcomes = _compare(name)
        perfect = outcomes['perfect'].quantile(0.99)
        assert outcomes['new'].quantile(0.99) <= perfect * 1.15

    @pytest.mark.parametrize('name', ['calm', 'burst'])
    def test_share_of_capacity(self, name: str) -> None:
        """The load takes at most 1.15 of the slots of perfect knowledge."""
        outcomes = _compare(name)
        perfect = outcomes['perfect'].busy_seconds
        assert outcomes['new'].busy_seconds <= perfect * 1.15

    @pytest.mark.parametrize('name', ['calm', 'burst', 'noisy'])
    def test_random_pair(self, name: str) -> None:
        """Fewer responses are late than with the least loaded of two."""
        outcomes = _compare(name)
        assert outcomes['new'].late < outcomes['of two'].late / 1.5

    @pytest.mark.parametrize('name', ['calm', 'noisy'])
    def test_previous(self, name: str) -> None:
        """The p99 is below that of the choice by own observations."""
        outcomes = _compare(name)
        previous = outcomes['previous'].quantile(0.99)
        assert outcomes['new'].quantile(0.99) < previous

    def test_cost(self) -> None:
        """Reports and receipts stay below 2 kB a second and process."""
        new = _compare('burst')['new']
        sent = new.report_bytes + new.receipt_bytes
        assert sent / (PROCESSES * SECONDS) < 2000

    def test_crowding(self) -> None:
        """Servers that slow down before they are full get less.

        Guards against a service time that is taken for constant.
        """
        new = _run('new', _make_crowded)
        two = _run('of two', _make_crowded)
        assert new.quantile(0.99) < two.quantile(0.99)


class TestLocality:
    @pytest.mark.parametrize(
        ('centres_called', 'least', 'most'), [(6, 0, 0.1), (1, 0.5, 1)]
    )
    def test_share_that_leaves(
        self, centres_called: int, least: float, most: float
    ) -> None:
        """Work leaves its data centre as far as the servers there are full.

        Guards against random candidates that are drawn from all data centres.
        """

        def prepare(scene: Scene) -> None:
            scene.entries = [
                process
                for process in scene.processes
                if process.data_centre in scene.data_centres[:centres_called]
            ]

        outcome = _run('new', prepare, data_centres=6)
        _show_share(outcome)
        share = outcome.remote / outcome.sent.total()
        assert least <= share <= most

    def test_one_centre_called(self) -> None:
        """Callers that all reach one data centre fare no worse than before.

        Guards against all processes staying at home, and then all leaving, by
        a digest that doesn't have the requests sent since.
        """

        def prepare(scene: Scene) -> None:
            scene.entries = [
                process
                for process in scene.processes
                if process.data_centre == scene.data_centres[0]
            ]

        new = _run('new', prepare, data_centres=6)
        previous = _run('previous', prepare, data_centres=6)
        assert new.late <= previous.late


class TestSlowedServer:
    def test_queue(self) -> None:
        """Servers three times slower have the others' queue after 2 s."""
        clock = MockClock()
        slowed_at = WARM_UP_SECONDS + 1
        samples: list[float] = []

        def slowness(now: float) -> float:
            return 3 if now >= slowed_at else 1

        async def main() -> None:
            scene = Scene(clock, SEED)
            ordered = sorted(scene.servers.values(), key=lambda one: -one.speed)
            slow, others = ordered[:SLOWED], ordered[SLOWED:]
            for server in slow:
                server.slowness = slowness

            def sample() -> None:
                level = mean(len(one.queue) for one in others)
                slow_level = mean(len(one.queue) for one in slow)
                samples.append(slow_level - level)

            for step in range(10):
                scene.at(slowed_at + 2 + step / 10, sample)
            await scene.run(choose_new, slowed_at + 3)

        trio.run(main, clock=clock)
        _show(f'queue above the mean of the others {samples}')
        assert 2 * mean(samples) <= 1


class TestFaults:
    def test_stale_digest(self) -> None:
        """Without receipts, choices fall back and don't herd.

        Guards against all processes choosing the same servers by an old digest.
        """
        peaks = [_peak(loses_receipts=lost) for lost in (False, True)]
        _show(f'most requests with and without receipts {peaks}')
        assert peaks[1] <= peaks[0] * 1.5

    def test_process_death(self, virtual_clock: MockClock) -> None:
        """Requests of a process that has ended don't count as in flight."""

        async def main() -> None:
            scene = Scene(virtual_clock, SEED, processes=2, servers=3)
            survivor, dead = scene.processes
            server = scene.servers['s0'].registered
            for _ in range(4):
                dead.local.loads.start(server)
            for _ in range(6):
                virtual_clock.jump(0.25)
                await scene._exchange(dead)
                await scene._exchange(survivor)
            fleet = scene.collector._fleet
            assert _in_flight(fleet) == {'s0': 4, 's1': 0, 's2': 0}
            for _ in range(6):
                virtual_clock.jump(0.25)
                await scene._exchange(survivor)
            assert _in_flight(fleet) == {'s0': 0, 's1': 0, 's2': 0}

        trio.run(main, clock=virtual_clock)

    def test_takeover(self, virtual_clock: MockClock) -> None:
        """A new coordinator sends no digest before all have reported.

        Guards against servers that seem idle because only a few of the
        processes that use them have reported.
        """

        async def main() -> None:
            scene = Scene(virtual_clock, SEED, processes=3, servers=3)
            await _exchange_for(scene, 2)
            assert all(_ages(scene.processes, below=0.75))
            scene.collector = scene.new_coordinator()
            before = scene.outcome.receipt_bytes
            await _exchange_for(scene, 0.75)
            assert scene.outcome.receipt_bytes - before < 9 * 20
            assert not any(_ages(scene.processes, below=0.5))
            await _exchange_for(scene, 1)
            assert all(_ages(scene.processes, below=0.75))

        trio.run(main, clock=virtual_clock)

    def test_restarted_server(self, virtual_clock: MockClock) -> None:
        """A server that restarts under its id starts from the median."""

        async def main() -> None:
            scene = Scene(virtual_clock, SEED, processes=1, servers=3)
            process = scene.processes[0]
            for _ in range(24):
                await _serve(scene, process)
            fleet = scene.collector._fleet
            slow = scene.servers['s0'].registered.incarnation
            other = scene.servers['s1'].registered.incarnation
            seconds = _seconds_by_incarnation(fleet)
            assert seconds[slow] > 2 * seconds[other]
            scene.add_server(0, 1, born=2)
            virtual_clock.jump(0.25)
            await scene._exchange(process)
            restarted = scene.servers['s0'].registered.incarnation
            seconds = _seconds_by_incarnation(fleet)
            assert slow not in seconds
            assert seconds[restarted] == pytest.approx(seconds[other], rel=0.2)

        trio.run(main, clock=virtual_clock)


def _seconds_by_incarnation(
    fleet: FleetLoad,
) -> dict[ServerIncarnation, float]:
    return {
        incarnation: estimate.seconds
        for _, incarnation, estimate in fleet.estimates()
    }


def _show_share(outcome: Outcome) -> None:
    share = outcome.remote / outcome.sent.total()
    _show(f'{share:.3f} left their data centre')


def _peak(*, loses_receipts: bool) -> int:
    """Return the most requests at a server after receipts may be lost."""
    clock = MockClock()
    sent: list[int] = []
    lose_at = WARM_UP_SECONDS + 1

    async def main() -> None:
        scene = Scene(clock, SEED)

        def lose() -> None:
            scene.loses_receipts = loses_receipts

        def sample() -> None:
            servers = scene.servers.values()
            sent.append(max(one.in_flight for one in servers))

        scene.at(lose_at, lose)
        for step in range(30):
            scene.at(lose_at + 0.1 * step, sample)
        await scene.run(choose_new, lose_at + 3)

    trio.run(main, clock=clock)
    return max(sent)


def _in_flight(fleet) -> dict[str, float]:
    return {
        incarnation.server: estimate.in_flight
        for _, incarnation, estimate in fleet.estimates()
    }


def _ages(processes: list[Process], below: float) -> list[bool]:
    return [process.local.loads.shared.age < below for process in processes]


async def _exchange_for(scene: Scene, seconds: float) -> None:
    """Let all processes report, and apply the receipts at once."""
    for _ in range(int(seconds / 0.25)):
        scene.clock.jump(0.25)
        for process in scene.processes:
            await scene._exchange(process)
        while scene._events:
            scene._events.pop()[2]()


async def _serve(scene: Scene, process: Process) -> None:
    """Let server 0 answer one request, and the others five in that time."""
    loads = process.local.loads
    for server in scene.servers.values():
        loads.start(server.registered)
    scene.clock.jump(0.25)
    for name, server in scene.servers.items():
        loads.finish(server.registered)
        for _ in range(1 if name == 's0' else 5):
            loads.record_answer(server.registered, scene.now(), 0.05)
    await scene._exchange(process)
