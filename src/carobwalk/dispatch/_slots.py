"""Slots of one backend server."""

import trio

from carobwalk.dispatch._admission_queue import AdmissionQueue
from carobwalk.dispatch._errors import SlotLimitError
from carobwalk.dispatch._limit_policy import SendEnd, limit_policies
from carobwalk.dispatch._queue_policy import QueuePolicy
from carobwalk.dispatch._rank_durations import RankDurations
from carobwalk.dispatch._server_health import ServerHealth
from carobwalk.dispatch._ticket import Ticket
from carobwalk.model import Clock, Failure, FailureKind, Outcome
from carobwalk.profiles import Profile

# A request that reached its deadline after more than this many mean slot
# times counts as stuck, not merely as short of time.
_STUCK_FACTOR = 4


class Slots:
    """Assigns slots in the order of the queue policy, within the limit.

    Args:
        profile: Settings that select the policies and limit the queue.
        clock: Clock of the dispatcher.
        health: Records how each request that held a slot ended.
    """

    def __init__(
        self,
        profile: Profile,
        clock: Clock,
        health: ServerHealth,
    ) -> None:
        self._profile = profile
        self._clock = clock
        self._health = health
        self._durations = RankDurations()
        self._queue = AdmissionQueue(profile, self._durations)
        self._limit = limit_policies.make(profile.limit_policy, profile)
        self._policies_by_ticket: dict[Ticket, QueuePolicy] = {}

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._policies_by_ticket)

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def apply(self, profile: Profile) -> None:
        """Apply changed settings; waiting requests stay queued."""
        if profile == self._profile:
            return
        previous = self._profile
        self._profile = profile
        self._queue.apply(profile)
        self._limit.apply(profile)
        if profile.limit_policy != previous.limit_policy:
            self._limit = limit_policies.make(profile.limit_policy, profile)
        self._start_waiting()

    async def acquire(self, ticket: Ticket) -> Failure | None:
        """Wait for a slot.

        Args:
            ticket: The request.

        Returns:
            ``None`` once the slot is acquired, otherwise why it was refused.
        """
        refusal = self._queue.push(ticket)
        if refusal is not None:
            return refusal
        self._start_waiting()
        try:
            await self._wait(ticket)
        except trio.Cancelled:
            self._withdraw(ticket)
            raise
        return ticket.refusal

    def release(self, ticket: Ticket, end: SendEnd) -> None:
        """Release a slot.

        Args:
            ticket: The request that held it.
            end: How the request ended.
        """
        now = self._clock.now()
        self._policies_by_ticket.pop(ticket).finish(ticket, now)
        held_seconds = ticket.held_seconds(now)
        if end is SendEnd.OVERDUE:
            is_stuck = held_seconds > _STUCK_FACTOR * self._durations.mean(
                ticket.rank
            )
            end = SendEnd.LOST if is_stuck else SendEnd.UNUSED
        if end is SendEnd.ANSWERED:
            self._durations.record(ticket.rank, held_seconds)
        self._health.record(end)
        self._limit.ended(end, self.running, now)
        self._start_waiting()

    async def _wait(self, ticket: Ticket) -> None:
        while not ticket.settled.is_set():
            now = self._clock.now()
            latest_start = ticket.expires_at - self._durations.mean(ticket.rank)
            if latest_start <= now:
                self._queue.remove(ticket)
                ticket.refuse(
                    _insufficient_time(self._durations.mean(ticket.rank))
                )
                break
            with trio.move_on_after(
                min(self._limit.wait(now), latest_start - now)
            ):
                await ticket.settled.wait()
            self._start_waiting()

    def _withdraw(self, ticket: Ticket) -> None:
        if ticket in self._policies_by_ticket:
            self.release(ticket, SendEnd.UNUSED)
        elif ticket.refusal is None:
            self._queue.remove(ticket)
            self._start_waiting()

    def _start_waiting(self) -> None:
        while self._limit.may_start(self.running, self._clock.now()):
            running = self._policies_by_ticket.keys()
            ticket = self._queue.pop(self._clock.now(), running)
            if ticket is None:
                return
            self._start(ticket)

    def _start(self, ticket: Ticket) -> None:
        now = self._clock.now()
        self._policies_by_ticket[ticket] = self._queue.policy
        if self.running > self._profile.slots:
            raise SlotLimitError(str(self.running))
        self._limit.started(now)
        ticket.admit(now)


def _insufficient_time(mean: float) -> Failure:
    return Failure(
        kind=FailureKind.DEADLINE,
        outcome=Outcome.NOT_RUN,
        detail=f'too little time left for work of {mean:.3f} s',
    )
