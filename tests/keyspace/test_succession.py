"""Pattern: the coordinator loses its role, and owners leave just then."""

import random
from collections.abc import Awaitable, Callable

import pytest
import trio
from trio.testing import MockClock

from carobwalk.keyspace import KeyTimes, Succession
from carobwalk.keyspace._claimant import Claimant
from carobwalk.keyspace._grant_ledger import GrantLedger, Inherited
from carobwalk.keyspace._key_range import KeyRange, ServerLife
from carobwalk.keyspace._term import Term
from carobwalk.model import ServerId, TrioClock
from carobwalk.store import LeaseId
from tests.keyspace.scene import (
    SERVICE,
    PeerLinks,
    RecordingLog,
    Scene,
    make_endpoint,
)

Story = Callable[[Scene], Awaitable[None]]
LIFE = ServerLife(ServerId('s1'), 1)
PART = KeyRange(first=0, last=99, owner=LIFE)
OTHER = ServerLife(ServerId('s2'), 1)


@pytest.fixture
def play(virtual_clock: MockClock) -> Callable[[Story], None]:
    """Return a function that plays a story; no key may have two owners."""

    def run(story: Story) -> None:
        async def body() -> Scene:
            scene = Scene(4)
            async with trio.open_nursery() as nursery:
                scene.start(nursery)
                await story(scene)
                nursery.cancel_scope.cancel()
            return scene

        assert trio.run(body, clock=virtual_clock).book.violations == []

    return run


async def _depose(scene: Scene) -> None:
    """Cut the coordinator off from the store; another one follows it."""
    first = scene.add_router('a')
    await scene.settle()
    scene.add_router('b')
    await trio.sleep(0.5)
    first.link.is_cut = True
    while not scene.routers[1].is_coordinating:
        await trio.sleep(0.05)
    await trio.sleep(0.3)


async def _seconds_to_move(scene: Scene) -> float:
    """Return how long the keys of an owner that leaves have no other one."""
    owner = scene.book.owner(0)
    scene.leave(int(owner[1:]))
    began = trio.current_time()
    with trio.fail_after(30):
        while scene.book.owner(0) in {None, owner}:
            await trio.sleep(0.02)
    return trio.current_time() - began


class TestDeposedCoordinator:
    def test_is_asked(self, play) -> None:
        """Keys of an owner that leaves move at once, not after 11 s."""

        async def story(scene: Scene) -> None:
            await _depose(scene)
            assert await _seconds_to_move(scene) < 1

        play(story)

    def test_is_unreachable(self, play) -> None:
        """Without an answer the longest grants are waited for."""

        async def story(scene: Scene) -> None:
            scene.peers.answers_by_name.clear()
            first = scene.add_router('a')
            await scene.settle()
            del scene.peers.answers_by_name['a']
            scene.add_router('b')
            await trio.sleep(0.5)
            first.link.is_cut = True
            while not scene.routers[1].is_coordinating:
                await trio.sleep(0.05)
            assert await _seconds_to_move(scene) > 5

        play(story)

    def test_comes_back(self, play) -> None:
        """A process that takes its own role again knows its own grants."""

        async def story(scene: Scene) -> None:
            router = scene.add_router('a')
            await scene.settle()
            scene.store.is_down = True
            await trio.sleep(3)
            scene.store.is_down = False
            while not router.is_coordinating:
                await trio.sleep(0.05)
            await trio.sleep(1)
            assert await _seconds_to_move(scene) < 1

        play(story)

    @pytest.mark.parametrize('seed', range(20))
    def test_no_second_owner(self, play, seed: int) -> None:
        """Late grants of the coordinator before don't make two owners."""

        async def story(scene: Scene) -> None:
            chooser = random.Random(seed)
            first = scene.add_router('a')
            await scene.settle()
            scene.add_router('b')
            await trio.sleep(chooser.uniform(0.2, 1.2))
            owner = scene.book.owner(0)
            holder = scene.book.holders_by_id[owner]
            first.link.is_cut = True
            await trio.sleep(chooser.uniform(0, 2))
            holder.applies_late = chooser.uniform(0.1, 0.9)
            while not scene.routers[1].is_coordinating:
                await trio.sleep(0.02)
            await trio.sleep(chooser.uniform(0, 0.4))
            holder.applies_late = None
            scene.leave(int(owner[1:]))
            await trio.sleep(15)
            assert scene.book.owner(0) not in {None, owner}

        play(story)


class TestSuccession:
    def test_own_claim(self, virtual_clock: MockClock) -> None:
        """A claim whose answer was lost doesn't end the term that made it."""

        async def body() -> None:
            log = RecordingLog()
            peers = PeerLinks()
            succession = Succession(peers, log)
            peers.answers_by_name['a'] = succession.answer
            clock = TrioClock()
            times = KeyTimes()
            term = Term(LeaseId('7'), clock.now(), times, clock)
            nothing = Inherited(holds=0, unanswered=0)
            ledger = GrantLedger(times, clock, nothing)
            succession.begin(SERVICE, term, ledger)
            claimant = Claimant(make_endpoint('a'), LeaseId('7'))
            await succession.learn(claimant, SERVICE, ledger)
            assert term.is_valid
            await succession.learn(
                claimant,
                SERVICE,
                GrantLedger(times, clock, nothing),
            )
            assert term.is_over
            assert log.named('TermEnded')

        trio.run(body, clock=virtual_clock)


class TestLedgerState:
    def test_exact_bounds(self, virtual_clock: MockClock) -> None:
        """A successor waits for each life as long as its own grants last."""

        async def body() -> None:
            times = KeyTimes()
            clock = TrioClock()
            before = GrantLedger(times, clock, Inherited(holds=0, unanswered=0))
            before.sending(PART, times.hold)
            before.answered(PART)
            await trio.sleep(1)
            inherited = Inherited(holds=times.inherited, unanswered=11)
            after = GrantLedger(times, clock, inherited)
            after.inherit(before.state())
            now = clock.now()
            assert after.holds_until(OTHER) == now
            assert after.holds_until(LIFE, (100, 200)) == now
            assert now + 2 < after.holds_until(LIFE) < now + 3
            assert after.free_after_release(LIFE) == now
            assert after.is_settled

        trio.run(body, clock=virtual_clock)

    def test_grant_on_its_way(self, virtual_clock: MockClock) -> None:
        """A grant without an answer yet may be applied after a release."""

        async def body() -> None:
            times = KeyTimes()
            clock = TrioClock()
            nothing = Inherited(holds=0, unanswered=0)
            before = GrantLedger(times, clock, nothing)
            before.sending(PART, times.hold)
            after = GrantLedger(times, clock, nothing)
            after.inherit(before.state())
            bound = after.holds_until(LIFE)
            assert after.free_after_release(LIFE) == bound
            assert bound > clock.now() + 3

        trio.run(body, clock=virtual_clock)
