"""Naive configuration: every process polls, and operators overwrite."""

import json
import random
from dataclasses import dataclass, field

import trio
from result import Err, Ok

from benchmarks._config_findings import LIMIT_SECONDS
from standins.memory_store import MemoryStore, MemoryStoreClient, StoreFaults

POLL_SECONDS = 2.0
_NAME = 'configuration'
_OPERATORS = 4
_FIELDS = ('base', 'filings', 'office', 'spare')
_DOWN_CHANCE = 0.3

Document = dict[str, int]


@dataclass
class NaiveFindings:
    """What the naive run saw.

    Args:
        writes: Writes that the store took.
        reverted: Fields of others that a write set back unknowingly.
        delays: Seconds from a write to its revision at each process.
    """

    writes: int = 0
    reverted: int = 0
    delays: list[float] = field(default_factory=list)


class NaiveRun:
    """Processes that poll and operators who write whole documents.

    Args:
        seed: Seed of all choices.
        processes: Number of processes.
        changes: Writes to make.
        pause: Mean pause of an operator between writes, in seconds.
    """

    def __init__(
        self,
        seed: int,
        processes: int,
        changes: int,
        pause: float,
    ) -> None:
        self.findings = NaiveFindings()
        self.seconds: float = 0
        self.spread_calls = 0
        self._store = MemoryStore()
        self._generator = random.Random(seed)
        self._processes = processes
        self._changes = changes
        self._pause = pause
        self._written_at: dict[int, float] = {}

    async def run(self) -> None:
        """Run until enough writes were made and seen."""
        async with trio.open_nursery() as nursery:
            for _ in range(self._processes):
                nursery.start_soon(self._poll)
            nursery.start_soon(self._break_store)
            async with trio.open_nursery() as writers:
                for _ in range(_OPERATORS):
                    writers.start_soon(self._operate)
            self.seconds = trio.current_time()
            await trio.sleep(LIMIT_SECONDS + 1)
            nursery.cancel_scope.cancel()

    async def _poll(self) -> None:
        client = self._store.client()
        seen = 0
        await trio.sleep(self._generator.uniform(0, POLL_SECONDS))
        while True:
            self.spread_calls += 1
            answer = await client.read(_NAME)
            if isinstance(answer, Ok) and answer.ok_value is not None:
                seen = self._note(seen, answer.ok_value.revision)
            await trio.sleep(POLL_SECONDS)

    def _note(self, seen: int, revision: int) -> int:
        now = trio.current_time()
        for newer in range(seen + 1, revision + 1):
            written = self._written_at.get(newer, now)
            self.findings.delays.append(now - written)
        return revision

    async def _operate(self) -> None:
        client = self._store.client()
        while self.findings.writes < self._changes:
            await trio.sleep(self._generator.uniform(0, 2 * self._pause))
            document = await self._read(client)
            if document is None:
                continue
            # The operator's script works on its copy for a moment.
            await trio.sleep(self._generator.uniform(0, self._pause))
            changed = self._generator.choice(_FIELDS)
            value = self._generator.randint(1, 999)
            await self._overwrite(client, document, {changed: value})

    async def _read(self, client: MemoryStoreClient) -> Document | None:
        answer = await client.read(_NAME)
        if isinstance(answer, Err):
            return None
        held = answer.ok_value
        document: Document = json.loads(held.content) if held else {}
        return document

    async def _overwrite(
        self,
        client: MemoryStoreClient,
        document: Document,
        change: Document,
    ) -> None:
        present = await client.read(_NAME)
        if isinstance(present, Err):
            return
        held = present.ok_value
        now: Document = json.loads(held.content) if held else {}
        content = json.dumps({**document, **change}).encode()
        revision = held.revision if held else 0
        written = await client.write(_NAME, content, revision)
        if isinstance(written, Ok):
            self._written_at[written.ok_value] = trio.current_time()
            self.findings.writes += 1
            self.findings.reverted += sum(
                now.get(name) != document.get(name)
                for name in now
                if name not in change
            )

    async def _break_store(self) -> None:
        while True:
            await trio.sleep(self._generator.uniform(1, 8))
            if self._generator.random() < _DOWN_CHANCE:
                self._store.inject(StoreFaults(down=True))
                await trio.sleep(self._generator.uniform(0, 12))
                self._store.inject(StoreFaults())
