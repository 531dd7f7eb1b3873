"""Processes that admit requests for one overloaded owner of a hot key."""

import random
from collections import Counter
from dataclasses import dataclass, replace
from functools import partial
from operator import itemgetter

from carobwalk.gateway import CallerRequest, NoTarget
from carobwalk.gateway.choice._admission import Admission
from carobwalk.http import AnswerMemory, AnswerShare
from tests.keyspace.simulated_fleet import make_server
from tests.routing.test_routing import make_route

PROCESSES = 82
DEADLINE = 2.7
TICK = 0.05
_TICKS_PER_RECEIPT = 5
_RATE = 120
# Longest time of a receipt's way to its process.
_MAX_DELAY = 0.05


def make_request(caller: str, rank: int = 0) -> CallerRequest:
    """Return a request for the hot key."""
    return CallerRequest(
        id=b'x',
        caller=caller,
        method=b'GET',
        target=b'/',
        headers=(),
        body=b'',
        route=make_route('/', rank=rank, timeout=DEADLINE),
        key=7,
        arrived=0,
        deadline=DEADLINE,
        answer_share=AnswerShare(AnswerMemory(1)),
    )


@dataclass(frozen=True)
class Return:
    """Second request of a caller that was refused.

    Args:
        at: Time at which it comes.
        is_as_told: Whether the caller could wait until its turn.
    """

    at: float
    request: CallerRequest
    is_as_told: bool


class AdmittingFleet:
    """Processes with clocks of their own, and callers that return once.

    Args:
        share: Share that the coordinator tells.
        noise: Deviation of the told shares, as a part of them.
        ranks: Ranks of the requests, drawn evenly.
    """

    def __init__(
        self, share: float, noise: float = 0, ranks: tuple[int, ...] = (0,)
    ) -> None:
        # Processes draw from the shared generator.
        random.seed(5)
        self.random = random.Random(5)
        self.now = 1000.0
        self.share = share
        self.noise = noise
        self.ranks = ranks
        self.coordinator_offset = 50_000.0
        self.server = make_server(0)
        self.processes = [
            Admission(partial(self.local_time, self.random.uniform(0, 1e5)))
            for _ in range(PROCESSES)
        ]
        self.returns: list[Return] = []
        self.asked: Counter[int] = Counter()
        self.admitted: Counter[int] = Counter()
        self.admitted_by_tick = [0]
        self.kept = Counter()
        self._ticks = 0

    def local_time(self, offset: float) -> float:
        """Return the time on the clock of a process."""
        return self.now + offset

    def run(self, seconds: float, rate: float = _RATE) -> None:
        """Let callers ask and return for some time."""
        for _ in range(round(seconds / TICK)):
            if not self._ticks % _TICKS_PER_RECEIPT:
                self.tell()
            self._ticks += 1
            started_at = self.now
            self.now += TICK
            self.admitted_by_tick.append(0)
            due = [each for each in self.returns if each.at <= self.now]
            self.returns = [each for each in self.returns if each.at > self.now]
            moments = [
                (started_at + self.random.random() * TICK, None)
                for _ in range(round(rate * TICK))
            ]
            moments.extend((each.at, each) for each in due)
            for now, returning in sorted(moments, key=itemgetter(0)):
                self.now = now
                self.ask_again(returning) if returning else self.ask_first()
            self.now = started_at + TICK

    def tell(self) -> None:
        """Send a receipt to each process, which takes some time."""
        deviation = 1 + self.random.uniform(-self.noise, self.noise)
        shares = {self.server.incarnation: self.share * deviation}
        for process in self.processes:
            delay = self.random.uniform(0.001, _MAX_DELAY)
            phase = self.now + self.coordinator_offset - delay
            process.replace(shares, phase)

    def ask_first(self) -> None:
        """Let a caller ask for the first time, and return if refused."""
        caller = str(self.random.random())
        request = make_request(caller, self.random.choice(self.ranks))
        refusal = self.ask(request)
        if refusal is not None:
            usable = DEADLINE / 3
            wait = min(refusal.retry_after, usable)
            is_as_told = refusal.retry_after <= usable
            self.returns.append(Return(self.now + wait, request, is_as_told))

    def ask_again(self, returning: Return) -> None:
        """Let a caller that was refused return."""
        is_admitted = self.ask(returning.request) is None
        if returning.is_as_told:
            self.kept[is_admitted] += 1

    def ask(self, request: CallerRequest) -> NoTarget | None:
        """Ask any of the processes."""
        process = self.random.choice(self.processes)
        refusal = process.refusal(self.server, replace(request))
        self.asked[request.route.rank] += 1
        if refusal is None:
            self.admitted[request.route.rank] += 1
            self.admitted_by_tick[-1] += 1
        return refusal

    def reset(self) -> None:
        """Forget what was counted."""
        self.asked.clear()
        self.admitted.clear()
        self.admitted_by_tick = [0]
        self.kept.clear()

    def admitted_share(self, rank: int | None = None) -> float:
        """Return the admitted share of the requests, or those of a rank."""
        if rank is None:
            return self.admitted.total() / self.asked.total()
        return self.admitted[rank] / self.asked[rank]
