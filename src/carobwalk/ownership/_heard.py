"""Question to other entries whether they hear a coordinator."""

from dataclasses import dataclass, field
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
class Testimony:
    """What other entries answered.

    Args:
        heard: Whether one of them heard the coordinator lately.
        answered: Those that answered at all.
    """

    heard: bool = False
    answered: set[str] = field(default_factory=set)


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

    async def ask(
        self,
        group: str,
        witnesses: tuple[Endpoint, ...],
    ) -> Testimony:
        """Return what the first few witnesses answer within the time limit."""
        found = Testimony()
        with trio.move_on_after(self._context.times.witness_timeout):
            async with trio.open_nursery() as nursery:
                for witness in witnesses[:WITNESSES]:
                    nursery.start_soon(self._ask_one, group, witness, found)
        return found

    async def _ask_one(
        self,
        group: str,
        witness: Endpoint,
        found: Testimony,
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
            found.answered.add(witness.name)
