"""Repository of the configuration in the store."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from result import Err, Ok, Result

from carobwalk.profiles._effects import compare_services
from carobwalk.profiles._failures import ConfigurationTooLarge
from carobwalk.profiles._policies import Policies
from carobwalk.profiles._resolution import resolve
from carobwalk.profiles._store_failures import (
    ConfigurationFailure,
    OutcomeUnknown,
    StoreBehind,
    StoreUnavailable,
)
from carobwalk.profiles.writing._decision import Decision, decide
from carobwalk.profiles.writing._head_record import HeadRecord
from carobwalk.profiles.writing._head_store import HeadStore, StoredHead
from carobwalk.profiles.writing._preview import Acceptance, Preview
from carobwalk.profiles.writing._proposal import Proposal
from carobwalk.profiles.writing._transition_check import check_transition
from carobwalk.profiles.writing._write_attempt import WriteAttempt
from carobwalk.store import Store

_MAX_RETRY_DELAY_SECONDS = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteSettings:
    """Settings of configuration writes.

    Args:
        timeout: Deadline in seconds of a read or write, including retries.
        policies: Registered policy names that profiles may refer to.
        known_revision: Returns the highest revision known to be accepted; a
            store with a lower one has lost writes, and new writes to it are
            rejected.
    """

    timeout: float = 3
    policies: Policies = field(default_factory=Policies)
    known_revision: Callable[[], int] = int


class ConfigurationRepository:
    """Reads and writes the configuration in the store.

    Args:
        store: Platform's key-value service.
        wall_clock: Returns the Unix time in seconds, for the history.
        generator: Random source for the delays between attempts.
        settings: Settings of writes; the defaults if ``None``.
    """

    def __init__(
        self,
        store: Store,
        wall_clock: Callable[[], float],
        generator: random.Random,
        settings: WriteSettings | None = None,
    ) -> None:
        self._head = HeadStore(store)
        self._wall_clock = wall_clock
        self._generator = generator
        self._settings = settings or WriteSettings()

    async def read(self) -> Result[HeadRecord, StoreUnavailable]:
        """Return the current head record."""
        with trio.move_on_after(self._settings.timeout):
            head = await self._head.read()
            if isinstance(head, Err):
                return Err(StoreUnavailable(repr(head.err_value)))
            return Ok(head.ok_value.record)
        return Err(StoreUnavailable('the store gave no answer in time'))

    async def preview(
        self,
        proposal: Proposal,
    ) -> Result[Preview, ConfigurationFailure]:
        """Evaluate a proposal without writing it."""
        head = await self.read()
        if isinstance(head, Err):
            return head
        decided = self._decide(head.ok_value, proposal)
        if isinstance(decided, Err):
            return decided
        decision = decided.ok_value
        effects = compare_services(
            resolve(head.ok_value.configuration),
            resolve(decision.record.configuration),
        )
        return Ok(Preview(decision.revision, decision.change, effects))

    async def write(
        self,
        proposal: Proposal,
    ) -> Result[Acceptance, ConfigurationFailure]:
        """Apply a proposal durably and at most once, retrying on conflicts.

        Returns:
            The acceptance once the store has confirmed the write;
            ``OutcomeUnknown`` if the store neither confirmed nor ruled it
            out before the deadline.
        """
        attempt = WriteAttempt()
        with trio.move_on_after(self._settings.timeout):
            while True:
                outcome = await self._try_write(proposal, attempt)
                if outcome is not None:
                    return outcome
                await trio.sleep(
                    self._generator.uniform(0, _MAX_RETRY_DELAY_SECONDS)
                )
        if attempt.is_pending:
            return Err(OutcomeUnknown(proposal.write_id, attempt.detail))
        return Err(StoreUnavailable(attempt.detail))

    def _decide(
        self,
        record: HeadRecord,
        proposal: Proposal,
    ) -> Result[Decision, ConfigurationFailure]:
        policies = self._settings.policies
        return decide(record, proposal, policies, self._wall_clock())

    async def _try_write(
        self,
        proposal: Proposal,
        attempt: WriteAttempt,
    ) -> Result[Acceptance, ConfigurationFailure] | None:
        """Make one attempt; returns ``None`` if it must be retried."""
        known = self._settings.known_revision()
        head = await self._head.read()
        if isinstance(head, Err):
            attempt.record_failure(head.err_value)
            return None
        stored_head = head.ok_value
        if stored_head.record.revision < known:
            return Err(StoreBehind(stored_head.record.revision, known))
        attempt.observe_revision(stored_head.store_revision)
        decided = self._decide(stored_head.record, proposal)
        if isinstance(decided, Err):
            return decided
        decision = decided.ok_value
        if decision.record is stored_head.record:
            return Ok(_acceptance(decision, repeated=True))
        return await self._write_decision(stored_head, decision, attempt)

    async def _write_decision(
        self,
        stored_head: StoredHead,
        decision: Decision,
        attempt: WriteAttempt,
    ) -> Result[Acceptance, ConfigurationFailure] | None:
        check_transition(stored_head.record, decision.record)
        encoded = await self._head.archive_and_encode(decision.record)
        if isinstance(encoded, Err):
            failure = encoded.err_value
            if isinstance(failure, ConfigurationTooLarge):
                return Err(failure)
            attempt.record_failure(failure)
            return None
        attempt.mark_sent(stored_head.store_revision)
        written = await self._head.write(
            encoded.ok_value,
            stored_head.store_revision,
        )
        if isinstance(written, Err):
            attempt.record_write_failure(written.err_value)
            return None
        return Ok(_acceptance(decision, repeated=False))


def _acceptance(decision: Decision, *, repeated: bool) -> Acceptance:
    return Acceptance(
        decision.revision,
        decision.change,
        repeated,
        decision.record.configuration,
    )
