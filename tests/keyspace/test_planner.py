"""Division of keys under load; no network."""

import random
from collections import Counter

import pytest

from carobwalk.keyspace._key_load import KeyLoad
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import MOST_KEY, KeyRange, ServerLife
from carobwalk.keyspace._move import Move, MoveCause
from carobwalk.keyspace._planner import Planner, PlannerView
from carobwalk.model import ServerId

_SLOTS = 4
MOST_USED = 0.9


def make_lives(count: int) -> list[ServerLife]:
    """Return lives of servers."""
    return [ServerLife(ServerId(f's{number:02}'), 1) for number in range(count)]


def divide(lives: list[ServerLife]) -> KeyMap:
    """Return a map that divides the keys evenly."""
    view = PlannerView(
        key_map=KeyMap(()),
        usable=dict.fromkeys(lives, 50.0),
        movable=frozenset(lives),
        leaving=frozenset(),
        load=KeyLoad(0),
    )
    return apply(KeyMap(()), Planner(view).plan())


def apply(key_map: KeyMap, moves: tuple[Move, ...]) -> KeyMap:
    """Return the map after moves whose owners took their grants."""
    return key_map.assign(
        KeyRange(
            first=move.first,
            last=move.last,
            owner=move.owner,
            fence=1,
            is_granted=True,
        )
        for move in moves
    )


class Load:
    """Requests of a moment, with a busy spot."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.counted = KeyLoad(0)
        self.rates: dict[int, float] = {}

    def run(self, seconds: float, rate: int, hot: range, share: float) -> None:
        """Count requests, a share of them for hot keys."""
        counts: dict[int, int] = {}
        for _ in range(int(rate * seconds)):
            if self._random.random() < share:
                key = self._random.choice(hot)
            else:
                key = self._random.randrange(MOST_KEY + 1)
            counts[key] = counts.get(key, 0) + 1
        self.counted.add(counts.items(), seconds)
        self.counted.refresh(seconds)
        even = rate * (1 - share) / (MOST_KEY + 1)
        self.rates = {key: rate * share / len(hot) for key in hot}
        self.even = even

    def busiest(self, key_map: KeyMap, capacities: dict[ServerLife, float]):
        """Return the highest true utilisation of a server."""
        rates = dict.fromkeys(capacities, 0)
        for part in key_map:
            rates[part.owner] += len(part) * self.even
            rates[part.owner] += sum(
                rate
                for key, rate in self.rates.items()
                if part.first <= key <= part.last
            )
        return max(rates[life] / capacities[life] for life in capacities)


def balance(key_map: KeyMap, load: Load, capacities) -> tuple[KeyMap, int]:
    """Plan until nothing moves; return the map and the number of plans."""
    for number in range(20):
        view = PlannerView(
            key_map=key_map,
            usable=capacities,
            movable=frozenset(capacities),
            leaving=frozenset(),
            load=load.counted,
        )
        moves = Planner(view).plan()
        if not moves:
            return key_map, number
        key_map = apply(key_map, moves)
    return key_map, 20


class TestBusySpot:
    """Pattern: 35 in 100 requests suddenly go to 200 neighbouring keys."""

    @pytest.mark.parametrize('seed', range(5))
    def test_spot_is_spread(self, seed: int) -> None:
        """No server stays asked for more than it can do."""
        lives = make_lives(22)
        capacities = dict.fromkeys(lives, _SLOTS / 0.075)
        key_map = divide(lives)
        load = Load(seed)
        load.run(1.5, 608, range(2600, 2800), 0.35)
        before = load.busiest(key_map, capacities)
        after_map, _ = balance(key_map, load, capacities)
        assert before > 3
        assert load.busiest(after_map, capacities) < 1
        assert after_map.is_complete()

    def test_slow_servers_get_less(self) -> None:
        """Servers whose speed differs three times end up equally used."""
        lives = make_lives(20)
        capacities = {
            life: _SLOTS / (0.22 * (0.5, 1, 1.5)[number % 3])
            for number, life in enumerate(lives)
        }
        load = Load(1)
        load.run(1.5, 188, range(40_000, 40_060), 0.4)
        after, _ = balance(divide(lives), load, capacities)
        most = 1.2
        assert load.busiest(after, capacities) < most

    def test_few_keys_move(self) -> None:
        """A busy spot moves few keys: each move costs its server's state."""
        lives = make_lives(22)
        capacities = dict.fromkeys(lives, _SLOTS / 0.075)
        key_map = divide(lives)
        load = Load(3)
        load.run(1.5, 608, range(30_000, 30_200), 0.35)
        after, _ = balance(key_map, load, capacities)
        moved = sum(
            1
            for key in range(MOST_KEY + 1)
            if key_map.find(key).owner != after.find(key).owner
        )
        assert moved < (MOST_KEY + 1) * 0.2

    def test_even_load_rests(self) -> None:
        """Nothing moves while servers are used alike."""
        lives = make_lives(10)
        load = Load(4)
        load.run(1.5, 100, range(1), 0)
        capacities = dict.fromkeys(lives, 53.0)
        key_map = divide(lives)
        assert balance(key_map, load, capacities) == (key_map, 0)


class TestLosses:
    def test_gone_owner(self) -> None:
        """Keys of a lost server are spread over several others."""
        lives = make_lives(6)
        key_map = divide(lives)
        load = Load(5)
        load.run(1.5, 100, range(1), 0)
        view = PlannerView(
            key_map=key_map,
            usable=dict.fromkeys(lives[1:], 50.0),
            movable=frozenset(),
            leaving=frozenset(),
            load=load.counted,
        )
        moves = Planner(view).plan()
        assert {move.cause for move in moves} == {MoveCause.OWNER_GONE}
        assert len({move.owner for move in moves}) > 1
        assert lives[0] not in {part.owner for part in apply(key_map, moves)}

    def test_unsettled_owner_keeps_keys(self) -> None:
        """A server with unanswered grants gives no keys up for balance."""
        lives = make_lives(4)
        load = Load(6)
        load.run(1.5, 300, range(100, 200), 0.9)
        view = PlannerView(
            key_map=divide(lives),
            usable=dict.fromkeys(lives, 50.0),
            movable=frozenset(lives[1:]),
            leaving=frozenset(),
            load=load.counted,
        )
        assert not any(
            move.first <= 200 and move.last >= 100
            for move in Planner(view).plan()
        )

    def test_without_servers(self) -> None:
        """Without a usable server nothing is planned."""
        view = PlannerView(
            key_map=KeyMap(()),
            usable={},
            movable=frozenset(),
            leaving=frozenset(),
            load=KeyLoad(0),
        )
        assert not Planner(view).plan()


class TestSingleHotKey:
    """Pattern: 40 in 100 requests suddenly are for one key."""

    def run(self, seed: int) -> tuple[KeyMap, dict[ServerLife, float]]:
        """Return the map after balancing, and the capacities."""
        lives = make_lives(22)
        capacities = {
            life: _SLOTS / (0.075 * (0.5, 1, 1, 1.5)[number % 4])
            for number, life in enumerate(lives)
        }
        load = Load(seed)
        load.run(1.5, 1000, range(1898, 1899), 0.4)
        after, plans = balance(divide(lives), load, capacities)
        assert plans < 20
        return after, capacities

    def test_fastest_server(self) -> None:
        """The key gets the fastest server, and that one nothing else."""
        after, capacities = self.run(1)
        owner = after.find(1898).owner
        assert capacities[owner] == max(capacities.values())
        kept = sum(len(part) for part in after if part.owner == owner)
        assert kept < 1000

    def test_others_are_balanced(self) -> None:
        """The rest is divided as if that key were not asked for."""
        after, capacities = self.run(2)
        owner = after.find(1898).owner
        even = 600 / (MOST_KEY + 1)
        rates = Counter()
        for part in after:
            rates[part.owner] += len(part) * even
        used = [
            rates[life] / capacity
            for life, capacity in capacities.items()
            if life != owner
        ]
        assert max(used) < MOST_USED
