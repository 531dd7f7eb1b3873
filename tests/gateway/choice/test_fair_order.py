"""Order in which waiting requests of one process get capacity."""

from collections import Counter

from carobwalk.gateway.choice._fair_order import FairOrder
from carobwalk.gateway.choice._route_parts import RouteParts
from tests.gateway.choice.waiting import make_waiter, serve


def make_order(capacity: float = 8) -> tuple[FairOrder, RouteParts]:
    """Return an empty order and the parts of its capacity."""
    parts = RouteParts()
    parts.capacity = capacity
    return FairOrder(parts), parts


class TestCallers:
    def test_flood(self) -> None:
        """A caller that floods doesn't delay one that sends few requests."""
        order, _ = make_order()
        for _ in range(100):
            order.push(make_waiter('flood'))
        for _ in range(5):
            order.push(make_waiter('calm'))
        served = Counter(waiter.caller for waiter in serve(order, 10))
        assert served == {'flood': 5, 'calm': 5}

    def test_by_deadline(self) -> None:
        """The request of a caller that has the least time left is first."""
        order, _ = make_order()
        for deadline in (9, 3, 6):
            order.push(make_waiter(deadline=deadline))
        assert [waiter.deadline for waiter in serve(order, 3)] == [3, 6, 9]

    def test_late_yields(self) -> None:
        """A request that can't be on time is served after those that can."""
        order, _ = make_order()
        late = make_waiter('a', deadline=3, on_time_until=1)
        on_time = make_waiter('b', deadline=9, on_time_until=5)
        order.push(late)
        order.push(on_time)
        assert serve(order, 2, now=2) == [on_time, late]

    def test_requests_ahead(self) -> None:
        """A flood isn't counted as ahead of another caller's request."""
        order, _ = make_order()
        for _ in range(100):
            order.push(make_waiter('flood'))
        assert order.ahead_of(0, 'calm') == 1
        assert order.ahead_of(0, 'flood') == 100


class TestRanks:
    def test_every_eighth(self) -> None:
        """A lower rank isn't starved by a stream of urgent requests."""
        order, _ = make_order()
        for number in range(100):
            order.push(make_waiter(str(number), rank=0))
            order.push(make_waiter(str(number), rank=1))
        for _ in range(10):
            ranks = [waiter.rank for waiter in serve(order, 8)]
            assert ranks == [0, 0, 0, 0, 0, 0, 0, 1]

    def test_each_lower_rank(self) -> None:
        """Two lower ranks have an eighth of the turns each."""
        order, _ = make_order()
        for number in range(200):
            for rank in (0, 1, 2):
                order.push(make_waiter(str(number), rank=rank))
        served = Counter(waiter.rank for waiter in serve(order, 80))
        assert served[0] in range(60, 62)
        assert served[1] in range(9, 11)
        assert served[2] in range(9, 11)

    def test_no_saved_turns(self) -> None:
        """A rank that didn't wait has no claim to earlier turns."""
        order, _ = make_order()
        for number in range(50):
            order.push(make_waiter(str(number), rank=0))
        serve(order, 20)
        order.push(make_waiter(rank=1))
        order.push(make_waiter('b', rank=1))
        ranks = [waiter.rank for waiter in serve(order, 8)]
        assert ranks == [0, 0, 0, 0, 0, 0, 0, 1]

    def test_requests_ahead(self) -> None:
        """Urgent requests delay a lower rank by its guaranteed turns at most.

        Otherwise a lower rank would be refused for a wait that isn't real.
        """
        order, _ = make_order()
        for number in range(100):
            order.push(make_waiter(str(number), rank=0))
        assert order.ahead_of(1, 'a') == 7
        assert order.ahead_of(0, 'x') == 100


class TestRoutes:
    def test_burst(self) -> None:
        """A burst of one route leaves a quarter of the turns to another one."""
        order, parts = make_order(capacity=8)
        for _ in range(6):
            parts.start('burst')
        for number in range(50):
            order.push(make_waiter(str(number), rank=0, route='burst'))
        other = make_waiter(rank=1, route='other')
        order.push(other)
        assert serve(order, 1) == [other]

    def test_alone(self) -> None:
        """A route may hold the whole capacity while no other request waits."""
        order, parts = make_order(capacity=8)
        for _ in range(7):
            parts.start('burst')
        waiter = make_waiter(route='burst')
        order.push(waiter)
        assert serve(order, 1) == [waiter]

    def test_all_at_their_parts(self) -> None:
        """Capacity is used if all waiting routes hold their largest parts.

        The capacity known may shrink to less than what is held. Guards against
        requests that wait while servers are idle.
        """
        order, parts = make_order(capacity=4)
        for route in ('a', 'b') * 4:
            parts.start(route)
        for route in ('a', 'b'):
            order.push(make_waiter(route, route=route))
        assert len(serve(order, 2)) == 2

    def test_after_the_burst(self) -> None:
        """A route that holds little is served by rank again."""
        order, parts = make_order(capacity=8)
        for _ in range(6):
            parts.start('burst')
        parts.finish('burst')
        urgent = make_waiter('a', rank=0, route='burst')
        order.push(make_waiter('b', rank=1, route='other'))
        order.push(urgent)
        assert serve(order, 1) == [urgent]
