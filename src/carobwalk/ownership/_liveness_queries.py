"""Queries to other entries about the liveness of a coordinator."""

from dataclasses import dataclass, field
from typing import Final

import trio
from result import Ok

from carobwalk.model import Endpoint, ProcessId
from carobwalk.ownership._codec import SCHEMA
from carobwalk.ownership._context import OwnershipContext
from carobwalk.ownership._shard_maps import ShardMaps
from carobwalk.peer import Topic

LIVENESS_TOPIC: Final = Topic('ownership.heard')
MAX_QUERIED_ENTRIES: Final = 3
_NO_PUSH_AGE: Final = -1.0


@dataclass(slots=True)
class LivenessAnswers:
    """Combined answers of the queried entries.

    Args:
        coordinator_alive: Whether any entry received a push of the coordinator
            within the election timeout.
        answered: Names of the entries that answered.
    """

    coordinator_alive: bool = False
    answered: set[str] = field(default_factory=set)


class LivenessQueries:
    """Exchanges with other entries the age of a coordinator's last push.

    Args:
        context: Dependencies and settings of this process.
        maps: Shard maps and the time of the last push of each group.
    """

    def __init__(self, context: OwnershipContext, maps: ShardMaps) -> None:
        self._context = context
        self._maps = maps

    async def answer(self, sender: ProcessId, payload: bytes) -> bytes:
        """Return the encoded age of the last push of the queried group."""
        query = SCHEMA.HeardQuery.from_bytes_packed(payload)
        view = self._maps.by_group.get(query.group)
        age = _NO_PUSH_AGE
        epoch = 0
        if view is not None:
            age = self._context.clock.now() - view.last_push_at
            epoch = view.epoch
        message = SCHEMA.HeardAnswer.new_message(epoch=epoch, age=age)
        return bytes(message.to_bytes_packed())

    async def ask(
        self,
        group: str,
        entries: tuple[Endpoint, ...],
    ) -> LivenessAnswers:
        """Query the first few entries and wait for their answers.

        Args:
            group: Group whose coordinator may have failed.
            entries: Entries to query, most preferred first.

        Returns:
            The answers that arrived within the query timeout.
        """
        answers = LivenessAnswers()
        with trio.move_on_after(self._context.times.liveness_query_timeout):
            async with trio.open_nursery() as nursery:
                for entry in entries[:MAX_QUERIED_ENTRIES]:
                    nursery.start_soon(self._ask_one, group, entry, answers)
        return answers

    async def _ask_one(
        self,
        group: str,
        entry: Endpoint,
        answers: LivenessAnswers,
    ) -> None:
        query = SCHEMA.HeardQuery.new_message(group=group)
        reply = await self._context.peers.ask(
            entry,
            LIVENESS_TOPIC,
            bytes(query.to_bytes_packed()),
            self._context.times.liveness_query_timeout,
        )
        if isinstance(reply, Ok):
            message = SCHEMA.HeardAnswer.from_bytes_packed(reply.ok_value)
            is_recent = 0 <= message.age <= self._context.times.election_timeout
            answers.coordinator_alive = answers.coordinator_alive or is_recent
            answers.answered.add(entry.name)
