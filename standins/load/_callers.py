"""Callers that send the requests of a load."""

from collections import defaultdict
from dataclasses import replace

import trio

from carobwalk.model import Address, SuspendAwareClock
from standins.load._answer import Answer, is_astray
from standins.load._caller_connection import CallerConnection, open_connection
from standins.load._observation import Observation
from standins.load._task import LoadTask


class Callers:
    """Sends requests over a pool of connections per entry.

    Args:
        timeout: Timeout of a request, in seconds.
    """

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._clock = SuspendAwareClock()
        self._idle_by_entry: dict[Address, list[CallerConnection]] = (
            defaultdict(list)
        )

    async def send(self, task: LoadTask) -> Observation:
        """Send a request once and return the result as its caller saw it."""
        sent_at = self._clock.now()
        observation = Observation(
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
            observation = await self._send(task, observation)
        return replace(observation, ended_at=self._clock.now())

    async def _send(
        self, task: LoadTask, observation: Observation
    ) -> Observation:
        try:
            connection = await self._acquire_connection(task.entry)
        except OSError as error:
            return replace(observation, detail=f'not connected: {error}')
        answer = None
        try:
            answer = await connection.exchange(task)
        finally:
            await self._release_connection(task.entry, connection, answer)
        return _describe(task, observation, answer)

    async def _acquire_connection(self, entry: Address) -> CallerConnection:
        idle = self._idle_by_entry[entry]
        return idle.pop() if idle else await open_connection(entry)

    async def _release_connection(
        self,
        entry: Address,
        connection: CallerConnection,
        answer: Answer | None,
    ) -> None:
        if answer and answer.is_whole and connection.is_reusable:
            self._idle_by_entry[entry].append(connection)
        else:
            await connection.aclose()


def _describe(
    task: LoadTask,
    observation: Observation,
    answer: Answer | None,
) -> Observation:
    if answer is None:
        return replace(observation, detail='connection lost before a response')
    outcome = answer.headers.get('carobwalk-outcome', '')
    is_complete = answer.is_whole and outcome == 'complete'
    return replace(
        observation,
        status=answer.status,
        outcome=outcome,
        error='' if is_complete else answer.error,
        request=answer.headers.get('carobwalk-request', ''),
        server=answer.headers.get('standin-server', ''),
        is_whole=answer.is_whole,
        is_astray=is_complete and is_astray(task, answer),
        detail='' if answer.is_whole else 'the response was truncated',
    )
