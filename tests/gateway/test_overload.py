"""Tests of the adaptive concurrency limit under overload."""

import math

from carobwalk.gateway.choice._server_load import ServerLoad

TARGET_SECONDS = 0.25
MIN_SHARE = 0.75
ROUNDS = 200


class TestAdaptiveLimit:
    """Overload of the owner of one key by requests from all processes."""

    def simulate(self, processes: int, service_seconds: float) -> float:
        """Return the fraction of rounds in which answers are in time.

        Args:
            processes: Processes that each send up to their limit.
            service_seconds: Time that the server takes for a request.
        """
        loads = [ServerLoad(24 / processes + 1) for _ in range(processes)]
        in_time = 0
        for _ in range(ROUNDS):
            held = sum(math.floor(load.limit) for load in loads)
            latency = service_seconds * max(held / 4, 1)
            for load in loads:
                load.in_flight = math.floor(load.limit)
                load.adjust_limit(latency, TARGET_SECONDS)
            in_time += latency <= TARGET_SECONDS
        return in_time / ROUNDS

    def test_answers_stay_in_time(self) -> None:
        """The limits keep the server's queue short enough for the target."""
        for processes in (2, 6, 12, 20):
            assert self.simulate(processes, 0.05) >= MIN_SHARE

    def test_limit_recovers(self) -> None:
        """The limit recovers its initial value once answers are fast again."""
        load = ServerLoad(3)
        for _ in range(20):
            load.adjust_limit(1, TARGET_SECONDS)
        assert load.limit == 1
        load.in_flight = 2
        for _ in range(40):
            load.adjust_limit(0.05, TARGET_SECONDS)
        assert load.limit == 3

    def test_idle_process_keeps_its_limit(self) -> None:
        """The limit does not rise while it is not reached."""
        load = ServerLoad(3)
        load.adjust_limit(1, TARGET_SECONDS)
        limit = load.limit
        load.adjust_limit(0.05, TARGET_SECONDS)
        assert load.limit == limit
