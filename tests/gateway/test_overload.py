"""Load beyond what servers can take; no network."""

import math

from carobwalk.gateway._server_load import ServerLoad

WANTED = 0.25
LEAST_SHARE = 0.75
_ROUNDS = 200


class TestAdaptiveLimit:
    """Pattern: one key gets far more requests than its owner can run."""

    def simulate(self, processes: int, service_seconds: float) -> float:
        """Return the share of answers in time while all processes press."""
        loads = [ServerLoad(24 / processes + 1) for _ in range(processes)]
        in_time = 0
        for _ in range(_ROUNDS):
            held = sum(math.floor(load.limit) for load in loads)
            latency = service_seconds * max(held / 4, 1)
            for load in loads:
                load.in_flight = math.floor(load.limit)
                load.adapt(latency, WANTED)
            in_time += latency <= WANTED
        return in_time / _ROUNDS

    def test_answers_stay_in_time(self) -> None:
        """The queue at the server stays so short that answers are in time."""
        for processes in (2, 6, 12, 20):
            assert self.simulate(processes, 0.05) >= LEAST_SHARE

    def test_limit_recovers(self) -> None:
        """Once answers are fast again the limit rises to its old value."""
        load = ServerLoad(3)
        for _ in range(20):
            load.adapt(1, WANTED)
        assert load.limit == 1
        load.in_flight = 2
        for _ in range(40):
            load.adapt(0.05, WANTED)
        assert load.limit == 3

    def test_idle_process_keeps_its_limit(self) -> None:
        """The limit does not rise while it is not reached."""
        load = ServerLoad(3)
        load.adapt(1, WANTED)
        limit = load.limit
        load.adapt(0.05, WANTED)
        assert load.limit == limit
