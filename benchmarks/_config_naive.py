"""Baseline: processes poll the configuration and operators overwrite it."""

import json
import random
from dataclasses import dataclass, field

import trio
from result import Err, Ok

from benchmarks._config_findings import LIMIT_SECONDS
from standins.memory_store import MemoryStore, MemoryStoreClient, StoreFaults

POLL_SECONDS = 2.0
_RECORD_NAME = 'configuration'
_OPERATOR_COUNT = 4
_FIELDS = ('base', 'filings', 'office', 'spare')
_OUTAGE_PROBABILITY = 0.3

Document = dict[str, int]


@dataclass
class NaiveFindings:
    """Observations of the naive run.

    Args:
        writes: Number of writes that the store accepted.
        reverted: Number of fields in which a write unknowingly reverted the
            change of another operator.
        delays: Seconds from each write until a process has read it.
    """

    writes: int = 0
    reverted: int = 0
    delays: list[float] = field(default_factory=list)


class NaiveRun:
    """Processes that poll and operators who write whole documents.

    Args:
        seed: Seed of all random choices.
        processes: Number of processes.
        changes: Number of writes to make.
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
        """Run until all writes were made and read."""
        async with trio.open_nursery() as nursery:
            for _ in range(self._processes):
                nursery.start_soon(self._poll)
            nursery.start_soon(self._fail_store)
            async with trio.open_nursery() as writers:
                for _ in range(_OPERATOR_COUNT):
                    writers.start_soon(self._write_changes)
            self.seconds = trio.current_time()
            await trio.sleep(LIMIT_SECONDS + 1)
            nursery.cancel_scope.cancel()

    async def _poll(self) -> None:
        client = self._store.client()
        seen = 0
        await trio.sleep(self._generator.uniform(0, POLL_SECONDS))
        while True:
            self.spread_calls += 1
            answer = await client.read(_RECORD_NAME)
            if isinstance(answer, Ok) and answer.ok_value is not None:
                seen = self._record_delays(seen, answer.ok_value.revision)
            await trio.sleep(POLL_SECONDS)

    def _record_delays(self, seen: int, revision: int) -> int:
        now = trio.current_time()
        for newer in range(seen + 1, revision + 1):
            written = self._written_at.get(newer, now)
            self.findings.delays.append(now - written)
        return revision

    async def _write_changes(self) -> None:
        client = self._store.client()
        while self.findings.writes < self._changes:
            await trio.sleep(self._generator.uniform(0, 2 * self._pause))
            document = await self._read(client)
            if document is None:
                continue
            # The operator edits a copy for a while before writing it.
            await trio.sleep(self._generator.uniform(0, self._pause))
            changed = self._generator.choice(_FIELDS)
            value = self._generator.randint(1, 999)
            await self._overwrite(client, document, {changed: value})

    async def _read(self, client: MemoryStoreClient) -> Document | None:
        answer = await client.read(_RECORD_NAME)
        if isinstance(answer, Err):
            return None
        record = answer.ok_value
        document: Document = json.loads(record.content) if record else {}
        return document

    async def _overwrite(
        self,
        client: MemoryStoreClient,
        document: Document,
        change: Document,
    ) -> None:
        current = await client.read(_RECORD_NAME)
        if isinstance(current, Err):
            return
        record = current.ok_value
        current_document: Document = (
            json.loads(record.content) if record else {}
        )
        content = json.dumps({**document, **change}).encode()
        revision = record.revision if record else 0
        written = await client.write(_RECORD_NAME, content, revision)
        if isinstance(written, Ok):
            self._written_at[written.ok_value] = trio.current_time()
            self.findings.writes += 1
            self.findings.reverted += sum(
                current_document.get(name) != document.get(name)
                for name in current_document
                if name not in change
            )

    async def _fail_store(self) -> None:
        while True:
            await trio.sleep(self._generator.uniform(1, 8))
            if self._generator.random() < _OUTAGE_PROBABILITY:
                self._store.inject(StoreFaults(down=True))
                await trio.sleep(self._generator.uniform(0, 12))
                self._store.inject(StoreFaults())
