"""Callers that send the requests of a load."""

from collections import defaultdict
from dataclasses import replace

import trio

from carobwalk.model import Address, SuspendAwareClock
from standins.load._answer import Answer, is_astray
from standins.load._caller_link import CallerLink, open_link
from standins.load._observation import Observation
from standins.load._task import LoadTask


class Callers:
    """Sends requests over kept connections and notes what came back.

    Args:
        timeout: Longest wait for an answer, in seconds.
    """

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._clock = SuspendAwareClock()
        self._idle_by_entry: dict[Address, list[CallerLink]] = defaultdict(list)

    async def ask(self, task: LoadTask) -> Observation:
        """Send a request once and return what its caller saw."""
        sent_at = self._clock.now()
        seen = Observation(
            entry=str(task.entry),
            service=task.service,
            rank=task.rank,
            method=task.method,
            key=task.key,
            mark=task.mark,
            idempotency_key=task.idempotency_key,
            sent_at=sent_at,
            ended_at=sent_at,
            detail='timeout',
        )
        with trio.move_on_after(self._timeout):
            seen = await self._ask(task, seen)
        return replace(seen, ended_at=self._clock.now())

    async def _ask(self, task: LoadTask, seen: Observation) -> Observation:
        try:
            link = await self._take_link(task.entry)
        except OSError as error:
            return replace(seen, detail=f'not connected: {error}')
        answer = None
        try:
            answer = await link.ask(task)
        finally:
            await self._put_back(task.entry, link, answer)
        return _describe(task, seen, answer)

    async def _take_link(self, entry: Address) -> CallerLink:
        idle = self._idle_by_entry[entry]
        return idle.pop() if idle else await open_link(entry)

    async def _put_back(
        self,
        entry: Address,
        link: CallerLink,
        answer: Answer | None,
    ) -> None:
        if answer and answer.is_whole and link.is_reusable:
            self._idle_by_entry[entry].append(link)
        else:
            await link.aclose()


def _describe(
    task: LoadTask,
    seen: Observation,
    answer: Answer | None,
) -> Observation:
    if answer is None:
        return replace(seen, detail='connection lost before an answer')
    outcome = answer.headers.get('carobwalk-outcome', '')
    is_complete = answer.is_whole and outcome == 'complete'
    return replace(
        seen,
        status=answer.status,
        outcome=outcome,
        error='' if is_complete else answer.error,
        request=answer.headers.get('carobwalk-request', ''),
        server=answer.headers.get('standin-server', ''),
        is_whole=answer.is_whole,
        is_astray=is_complete and is_astray(task, answer),
        detail='' if answer.is_whole else 'the answer was cut off',
    )
