"""Questions to relays for the records that they have read."""

from collections.abc import Sequence
from typing import Final

import msgspec
from result import Err, Ok, Result

from carobwalk.model import DECODE_ERRORS, Clock, Endpoint
from carobwalk.peer import Peers
from carobwalk.relay._freshness import Freshness, FreshnessTimes
from carobwalk.relay._messages import (
    RELAY_TOPIC,
    RecordUpdate,
    RelayAnswer,
    RelayQuestion,
    read_row,
)
from carobwalk.store import Changes, FollowedRecords, Listing, Versioned

# Time for a notice beyond that for which the question is held open.
_NOTICE_MARGIN_SECONDS: Final = 0.3
# The first answer of a relay has all records.
_FIRST_ANSWER_SECONDS: Final = 2.0


class RelayFailure(msgspec.Struct, frozen=True):
    """A relay that doesn't tell what is in the store now.

    Args:
        detail: Cause of the failure.
    """

    detail: str


class RelayClient:
    """Asks relays for changes and applies them.

    Args:
        peers: Sends long polls to relays.
        records: Records of all relayed prefixes.
        freshness: Age of those whose changes have to be known in time.
        times: Times that keep it low.
        clock: Clock that keeps running while the host is suspended.
    """

    def __init__(
        self,
        peers: Peers,
        records: Sequence[FollowedRecords],
        freshness: Freshness,
        times: FreshnessTimes,
        clock: Clock,
    ) -> None:
        self._times = times
        self._peers = peers
        self._records = records
        self._freshness = freshness
        self._clock = clock

    async def fetch(
        self, relay: Endpoint, hold: float
    ) -> Result[None, RelayFailure]:
        """Ask a relay for changes and apply them.

        The answer was made at the earliest when the question had been held
        for as long as the relay says.

        Args:
            relay: The relay.
            hold: How long in seconds it waits for changes.
        """
        asked_at = self._clock.now()
        question = RelayQuestion(self._known(), hold)
        timeout = hold + self._times.answer_margin
        if not all(question.known):
            timeout = max(timeout, _FIRST_ANSWER_SECONDS)
        asked = await self._ask(relay, question, timeout)
        if isinstance(asked, Err):
            return asked
        answer = asked.ok_value
        try:
            self._apply(answer)
        except ValueError as error:
            return Err(RelayFailure(str(error)))
        self._freshness.prove(asked_at + answer.held - answer.age)
        return Ok(None)

    async def await_notice(
        self, relay: Endpoint, hold: float
    ) -> Result[tuple[int, ...], RelayFailure]:
        """Ask a relay whether there are changes.

        Args:
            relay: The relay.
            hold: How long in seconds it waits for changes.

        Returns:
            The revision of the last change of each prefix.
        """
        question = RelayQuestion(self._known(), hold, is_notice=True)
        timeout = hold + _NOTICE_MARGIN_SECONDS
        asked = await self._ask(relay, question, timeout)
        return asked.map(lambda answer: answer.revisions)

    def knows(self, revisions: tuple[int, ...]) -> bool:
        """Return whether the changes up to some revisions are known."""
        return all(
            known >= revision
            for known, revision in zip(self._known(), revisions, strict=False)
        )

    def _known(self) -> tuple[int, ...]:
        return tuple(followed.revision for followed in self._records)

    async def _ask(
        self, relay: Endpoint, question: RelayQuestion, timeout: float
    ) -> Result[RelayAnswer, RelayFailure]:
        answered = await self._peers.ask(
            relay, RELAY_TOPIC, msgspec.msgpack.encode(question), timeout
        )
        if isinstance(answered, Err):
            return Err(RelayFailure(answered.err_value.detail))
        try:
            answer = msgspec.msgpack.decode(answered.ok_value, type=RelayAnswer)
        except DECODE_ERRORS as error:
            return Err(RelayFailure(str(error)))
        if not answer.is_fresh:
            return Err(RelayFailure(f'{relay.name} is not fresh'))
        return Ok(answer)

    def _apply(self, answer: RelayAnswer) -> None:
        updates_by_prefix = {update.prefix: update for update in answer.updates}
        for followed in self._records:
            update = updates_by_prefix.get(followed.prefix)
            if update is not None:
                _apply_update(followed, update)
            followed.confirm()


def _apply_update(followed: FollowedRecords, update: RecordUpdate) -> None:
    changes = tuple(map(read_row, update.rows))
    if not update.is_listing:
        followed.apply(Changes(changes, update.revision))
        return
    records = tuple(
        change for change in changes if isinstance(change, Versioned)
    )
    followed.load(
        Listing(records, update.revision),
        after_outage=update.is_after_outage,
    )
