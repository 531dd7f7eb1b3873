"""Distribution of records from a relay to other processes."""

from collections.abc import Callable
from typing import Final

import msgspec
import trio

from carobwalk.model import Clock, ProcessId
from carobwalk.relay._freshness import Freshness
from carobwalk.relay._messages import (
    RecordUpdate,
    RelayAnswer,
    RelayQuestion,
)
from carobwalk.relay._record_log import RecordLog

# Longest time until waiting processes learn that this one is no longer fresh.
_CHECK_SECONDS: Final = 0.05
_MAX_HOLD_SECONDS: Final = 10.0
_NOT_FRESH: Final = msgspec.msgpack.encode(RelayAnswer(is_fresh=False))


class RecordFeed:
    """Answers long polls for records as soon as there are newer ones.

    They are also answered at the next proof that there are none.

    Args:
        is_fresh: Returns whether this process relays and the store answers it.
        freshness: Age of what this process knows.
        clock: Clock that keeps running while the host is suspended.
    """

    def __init__(
        self, is_fresh: Callable[[], bool], freshness: Freshness, clock: Clock
    ) -> None:
        self.logs: list[RecordLog] = []
        self._is_fresh = is_fresh
        self._freshness = freshness
        self._clock = clock
        self._changed = trio.Event()

    def notify(self) -> None:
        """Wake the questions that are held open."""
        self._changed.set()
        self._changed = trio.Event()

    async def run(self) -> None:
        """End questions when this process stops to be fresh."""
        was_fresh = False
        while True:
            await trio.sleep(_CHECK_SECONDS)
            if was_fresh and not self._is_fresh():
                self.notify()
            was_fresh = self._is_fresh()

    async def answer(self, sender: ProcessId, payload: bytes) -> bytes:
        """Answer a long poll; a ``TopicHandler``."""
        asked_at = self._clock.now()
        question = msgspec.msgpack.decode(payload, type=RelayQuestion)
        with trio.move_on_after(min(question.hold, _MAX_HOLD_SECONDS)):
            while self._is_fresh() and not (
                self._has_news(question) or self._is_proved(question, asked_at)
            ):
                await self._changed.wait()
        if not self._is_fresh():
            return _NOT_FRESH
        return msgspec.msgpack.encode(
            RelayAnswer(
                is_fresh=True,
                updates=() if question.is_notice else self._updates(question),
                revisions=tuple(log.last_change for log in self.logs),
                age=self._freshness.age,
                held=self._clock.now() - asked_at,
            )
        )

    def _is_proved(self, question: RelayQuestion, asked_at: float) -> bool:
        """Return whether there is a proof of the time since a question."""
        return not question.is_notice and self._freshness.proved_at > asked_at

    def _has_news(self, question: RelayQuestion) -> bool:
        if not question.is_notice:
            return bool(self._updates(question))
        return any(
            log.last_change > known
            for log, known in zip(self.logs, question.known, strict=False)
        )

    def _updates(self, question: RelayQuestion) -> tuple[RecordUpdate, ...]:
        updates = (
            log.update_since(known)
            for log, known in zip(self.logs, question.known, strict=False)
        )
        return tuple(update for update in updates if update is not None)
