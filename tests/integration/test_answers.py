"""Randomised requests over slow and breaking links."""

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
from tests.integration._scene import SERVICE, Scene, open_scene

# CAROBWALK_ANSWERS sets the number of requests of a longer run.
REQUESTS = int(os.getenv('CAROBWALK_ANSWERS', '600'))
SEED = 7
CALLERS = 24
TIMEOUT_SECONDS = 40
METHODS = MappingProxyType(
    {Rank.LOOKUP: 'GET', Rank.MONEY: 'POST', Rank.BULK: 'PUT'},
)
FAULTS = ('', '', '', '', '', '', '', 'break', 'silent', 'cut')
SIZES = (0, 0, 0, 1, 1000, 70_000, 200_000)


def make_task(entry: Address, chooser: random.Random, number: int) -> LoadTask:
    """Return a request of any rank, size and fault."""
    rank = chooser.choice(tuple(Rank))
    size = chooser.choice(SIZES)
    fault = chooser.choice(FAULTS)
    mark = f'{number}-{chooser.randrange(10**6)}'
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
        key=f'key-{chooser.randrange(50)}',
        mark=mark,
        idempotency_key=action,
        body_bytes=0 if rank is Rank.LOOKUP else size,
        work_ms=chooser.randrange(8),
        query=query,
    )


class Crowd:
    """Callers that send until the number of requests is reached.

    Args:
        scene: The running parts.
    """

    def __init__(self, scene: Scene) -> None:
        self.seen: list[Observation] = []
        self._scene = scene
        self._chooser = random.Random(SEED)
        self._callers = Callers(TIMEOUT_SECONDS)
        self._numbers = iter(range(REQUESTS))

    async def run(self) -> None:
        """Send all requests; a part of the actions is sent twice."""
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                nursery.start_soon(self._send)

    async def _send(self) -> None:
        for number in self._numbers:
            task = make_task(self._scene.entry, self._chooser, number)
            self.seen.append(await self._callers.send(task))
            if task.rank is Rank.MONEY and number % 3 == 0:
                again = replace(task, mark=f'{task.mark}-again')
                self.seen.append(await self._callers.send(again))


class TestAnswers:
    def test_breaking_links(self) -> None:
        """No answer goes astray, is cut yet complete, late, or runs twice."""

        async def body() -> tuple[Scene, Crowd]:
            async with trio.open_nursery() as nursery:
                scene = await open_scene(nursery, SEED)
                crowd = Crowd(scene)
                await crowd.run()
                nursery.cancel_scope.cancel()
            return scene, crowd

        scene, crowd = trio.run(body)
        records = scene.state.log.records_by_number.values()
        assert not audit(crowd.seen, records)
        errors = Counter(seen.error for seen in crowd.seen)
        assert not errors[FailureKind.DEADLINE]
        told = Counter(seen.told for seen in crowd.seen)
        assert told.keys() >= {'complete', 'unknown', 'none'}
        assert told['complete'] * 4 > len(crowd.seen)
        assert all(link.breaks for link in scene.links)
