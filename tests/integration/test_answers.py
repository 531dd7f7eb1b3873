"""Answers to randomised requests over links that delay and break."""

import os
import random
import time
from collections import Counter
from dataclasses import replace
from types import MappingProxyType

import trio

from carobwalk.model import Address, FailureKind, Rank
from standins.load import (
    Callers,
    LoadTask,
    Observation,
    audit,
    make_idempotency_key,
)
from tests.integration._deployment import SERVICE, Deployment, start_deployment

# CAROBWALK_ANSWERS sets another number of requests, for longer runs.
REQUESTS = int(os.getenv('CAROBWALK_ANSWERS', '600'))
SEED = 7
CALLERS = 24
TIMEOUT_SECONDS = 40
METHODS = MappingProxyType(
    {Rank.LOOKUP: 'GET', Rank.MONEY: 'POST', Rank.BULK: 'PUT'},
)
FAULTS = ('', '', '', '', '', '', '', 'break', 'silent', 'cut')
SIZES = (0, 0, 0, 1, 1000, 70_000, 200_000)


def make_task(
    entry: Address, generator: random.Random, number: int
) -> LoadTask:
    """Return a request of random rank, size and injected fault."""
    rank = generator.choice(tuple(Rank))
    size = generator.choice(SIZES)
    fault = generator.choice(FAULTS)
    mark = f'{number}-{generator.randrange(10**6)}'
    query = f'&fault={fault}' if fault else ''
    if rank is Rank.LOOKUP and size:
        query = f'{query}&size={size}'
    action = None
    if rank is Rank.MONEY:
        action = make_idempotency_key(mark, time.time_ns())
    return LoadTask(
        entry=entry,
        service=SERVICE,
        rank=rank,
        method=METHODS[rank],
        key=f'key-{generator.randrange(50)}',
        mark=mark,
        idempotency_key=action,
        body_bytes=0 if rank is Rank.LOOKUP else size,
        work_ms=generator.randrange(8),
        query=query,
    )


class ConcurrentCallers:
    """Concurrent callers that send a fixed number of requests in total.

    Args:
        deployment: Components that the requests are sent to.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.observations: list[Observation] = []
        self._deployment = deployment
        self._generator = random.Random(SEED)
        self._callers = Callers(TIMEOUT_SECONDS)
        self._numbers = iter(range(REQUESTS))

    async def run(self) -> None:
        """Send all requests, and some money-bearing actions a second time."""
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                nursery.start_soon(self._send)

    async def _send(self) -> None:
        for number in self._numbers:
            task = make_task(self._deployment.entry, self._generator, number)
            self.observations.append(await self._callers.send(task))
            if task.rank is Rank.MONEY and number % 3 == 0:
                again = replace(task, mark=f'{task.mark}-again')
                self.observations.append(await self._callers.send(again))


class TestAnswers:
    def test_breaking_links(self) -> None:
        """Answers are neither misdelivered, truncated unnoticed nor late.

        No action runs twice either, though links between entry, dispatcher
        and backend server delay data and break at random.
        """

        async def body() -> tuple[Deployment, ConcurrentCallers]:
            async with trio.open_nursery() as nursery:
                deployment = await start_deployment(nursery, SEED)
                callers = ConcurrentCallers(deployment)
                await callers.run()
                nursery.cancel_scope.cancel()
            return deployment, callers

        deployment, callers = trio.run(body)
        records = deployment.state.log.records_by_number.values()
        assert not audit(callers.observations, records)
        errors = Counter(seen.error for seen in callers.observations)
        assert not errors[FailureKind.DEADLINE]
        told = Counter(seen.told for seen in callers.observations)
        assert told.keys() >= {'complete', 'unknown', 'none'}
        assert told['complete'] * 4 > len(callers.observations)
        assert all(link.breaks for link in deployment.links)
