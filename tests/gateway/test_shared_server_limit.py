"""Limit of a server on the requests of many processes together.

Guards against shares of a limit that add up to more than it, at once or when
all processes have been idle.
"""

import random
from collections.abc import Callable

import pytest

from carobwalk.gateway._server_notice import ServerNotice
from carobwalk.gateway.choice._send_gate import SendGate

WINDOW_SECONDS = 4.0
STEP_SECONDS = 0.02
SECONDS = 40.0

Demand = Callable[[float], bool]


def _steady(now: float) -> bool:
    """Requests for the server are waiting all the time."""
    return True


def _bursts(now: float) -> bool:
    """Requests come for 2 s after each 18 s without any."""
    return now % 20 > 18


def _send(processes: int, limit: float, demand: Demand) -> list[float]:
    """Return when processes send to a server whose limit all of them know."""
    gates = [SendGate() for _ in range(processes)]
    sent_at = []
    for step in range(int(SECONDS / STEP_SECONDS)):
        now = step * STEP_SECONDS
        for gate in gates:
            if step == 0:
                gate.apply(ServerNotice(limit=limit), now)
            if demand(now) and not gate.pause(now, processes):
                gate.admit(now, processes)
                gate.apply(ServerNotice(limit=limit), now)
                sent_at.append(now)
    return sent_at


def _most_in_window(sent_at: list[float]) -> int:
    return max(
        sum(1 for moment in sent_at if start <= moment < start + WINDOW_SECONDS)
        for start in (0, *sent_at)
    )


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('limit', [0, 0.5, 2, 6.5, 30])
@pytest.mark.parametrize('processes', [1, 12, 75])
class TestSharedLimit:
    @pytest.mark.parametrize('demand', [_steady, _bursts])
    def test_bound(
        self, processes: int, limit: float, seed: int, demand: Demand
    ) -> None:
        """All processes together keep to the limit in each window."""
        random.seed(seed)
        most = _most_in_window(_send(processes, limit, demand))
        assert most <= limit * WINDOW_SECONDS * 1.5 + 5

    def test_limit_is_used(
        self, processes: int, limit: float, seed: int
    ) -> None:
        """Under steady demand about the whole limit is used."""
        random.seed(seed)
        sent_at = _send(processes, limit, _steady)
        assert len(sent_at) >= 0.5 * limit * SECONDS - 2
