"""Question to other entries whether they hear a coordinator."""

from dataclasses import dataclass
from typing import Final

import trio
from result import Ok

from carobwalk.model import Endpoint, ProcessId
from carobwalk.ownership._codec import SCHEMA
from carobwalk.ownership._context import OwnershipContext
from carobwalk.ownership._shard_maps import ShardMaps
from carobwalk.peer import Topic

HEARD_TOPIC: Final = Topic('ownership.heard')
WITNESSES: Final = 3
_NEVER: Final = -1.0


@dataclass(slots=True)
class _Found:
    """Whether a witness heard the coordinator."""

    heard: bool = False


class HeardQuestions:
    """Asks and answers when a group's coordinator was heard last.

    Args:
        context: Surroundings of the process.
        maps: Shard maps with the times of the last pushes.
    """

    def __init__(self, context: OwnershipContext, maps: ShardMaps) -> None:
        self._context = context
        self._maps = maps

    async def answer(self, sender: ProcessId, payload: bytes) -> bytes:
        """Return the age of the last push of a group."""
        query = SCHEMA.HeardQuery.from_bytes_packed(payload)
        view = self._maps.by_group.get(query.group)
        age = _NEVER
        epoch = 0
        if view is not None:
            age = self._context.clock.now() - view.heard_at
            epoch = view.epoch
        message = SCHEMA.HeardAnswer.new_message(epoch=epoch, age=age)
        return bytes(message.to_bytes_packed())

    async def is_heard(
        self,
        group: str,
        witnesses: tuple[Endpoint, ...],
    ) -> bool:
        """Return whether any witness heard the coordinator lately."""
        found = _Found()
        with trio.move_on_after(self._context.times.witness_timeout):
            async with trio.open_nursery() as nursery:
                for witness in witnesses[:WITNESSES]:
                    nursery.start_soon(self._ask, group, witness, found)
        return found.heard

    async def _ask(
        self,
        group: str,
        witness: Endpoint,
        found: _Found,
    ) -> None:
        query = SCHEMA.HeardQuery.new_message(group=group)
        reply = await self._context.peers.ask(
            witness,
            HEARD_TOPIC,
            bytes(query.to_bytes_packed()),
            self._context.times.witness_timeout,
        )
        if isinstance(reply, Ok):
            message = SCHEMA.HeardAnswer.from_bytes_packed(reply.ok_value)
            lately = 0 <= message.age <= self._context.times.silence
            found.heard = found.heard or lately
