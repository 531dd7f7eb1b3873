"""Choice of the relays that a process asks."""

from typing import Final

import trio

from carobwalk.events import EventLog
from carobwalk.model import Clock, Endpoint
from carobwalk.relay._events import RelayChanged
from carobwalk.relay._relay_directory import RelayDirectory

# A relay that has failed is asked again after this time.
_SUSPICION_SECONDS: Final = 2.0


class RelayChoice:
    """The relay that is followed, and those to ask in its place.

    Args:
        relays: Known relays.
        clock: Clock by which relays that have failed are left out.
        events: Event log.
    """

    def __init__(
        self, relays: RelayDirectory, clock: Clock, events: EventLog
    ) -> None:
        self.followed = ''
        self.changed = trio.Event()
        self._relays = relays
        self._clock = clock
        self._events = events
        self._failed_at_by_name: dict[str, float] = {}
        self._question = trio.CancelScope()

    def candidates(self) -> list[Endpoint]:
        """Return the relays that have not failed lately, the nearest first."""
        limit = self._clock.now() - _SUSPICION_SECONDS
        self._failed_at_by_name = {
            name: failed_at
            for name, failed_at in self._failed_at_by_name.items()
            if failed_at > limit
        }
        return [
            relay
            for relay in self._relays.by_distance()
            if relay.name not in self._failed_at_by_name
        ]

    def first(self) -> Endpoint | None:
        """Return the relay that is followed."""
        relays = self._relays.by_distance()
        return next((one for one in relays if one.name == self.followed), None)

    def second(self) -> Endpoint | None:
        """Return the relay to ask for notices while one is followed."""
        others = (
            relay for relay in self.candidates() if relay.name != self.followed
        )
        return next(others, None) if self.followed else None

    def suspect(self, relay: Endpoint) -> None:
        """Record that a relay has failed."""
        self._failed_at_by_name[relay.name] = self._clock.now()

    def follow(self, name: str, cause: str) -> None:
        """Record which relay is followed.

        Args:
            name: Name of the process, empty if there is none.
            cause: Why it is not the one before.
        """
        if name != self.followed:
            changed = RelayChanged(name, self.followed, cause)
            self.followed = name
            self._events.emit(changed)
            self.changed.set()
            self.changed = trio.Event()

    def begin_question(self) -> trio.CancelScope:
        """Return the scope of a new question to the followed relay."""
        self._question = trio.CancelScope()
        return self._question

    def give_up(self) -> None:
        """Cancel the question to the followed relay."""
        self._question.cancel()
