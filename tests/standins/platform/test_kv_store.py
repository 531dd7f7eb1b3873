"""Tests of the stand-in for the platform's store."""

import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from carobwalk.store import Changes
from standins.platform import KvStore

_TIMEOUT_SECONDS = 1.0
# The event loop runs tasks that wake together in random order.
_ROUNDS = 20


class TestWatch:
    def test_change_at_the_timeout(self) -> None:
        """A watch never reports a revision without the changes up to it.

        A change that came in the moment of the timeout was left out, and the
        watcher went on from after it.
        """
        for _ in range(_ROUNDS):
            clock = MockClock(autojump_threshold=0)
            found = trio.run(_watch_until_change, clock=clock)
            changed = [change.revision for change in found.changes]
            expected = [2] if found.revision == 2 else []
            assert changed == expected


async def _watch_until_change() -> Changes:
    store = KvStore()
    watched: list[Changes] = []

    async def watch() -> None:
        answer = await store.watch_records('op/', 1, _TIMEOUT_SECONDS)
        watched.append(answer.unwrap())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        await wait_all_tasks_blocked()
        with trio.move_on_after(_TIMEOUT_SECONDS):
            await trio.sleep_forever()
        store.records.put('op/config', b'{}')
    return watched[0]
