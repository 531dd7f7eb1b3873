"""What a follower works with."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from carobwalk.events import EventLog
from carobwalk.model import Clock, Endpoint
from carobwalk.peer import Peers, Topics
from carobwalk.profiles.spread._follower_settings import FollowerSettings
from carobwalk.store import Store


@dataclass(frozen=True, slots=True, kw_only=True)
class FollowerParts:
    """Parts of the process that a follower uses.

    Args:
        own: This process.
        store: Platform's key-value service.
        peers: Sender of questions to other processes.
        topics: Registry of the handlers of their questions.
        known_peers: Returns all processes known now; this one may be listed.
        is_watcher: Returns whether this process watches the store.
        clock: Clock of the process.
        events: Log of events.
        generator: Source of jitter.
        settings: Periods and limits.
    """

    own: Endpoint
    store: Store
    peers: Peers
    topics: Topics
    known_peers: Callable[[], tuple[Endpoint, ...]]
    is_watcher: Callable[[], bool]
    clock: Clock
    events: EventLog
    generator: random.Random
    settings: FollowerSettings = field(default_factory=FollowerSettings)

    def other_peers(self) -> tuple[Endpoint, ...]:
        """Return all known processes but this one."""
        return tuple(
            peer for peer in self.known_peers() if peer.name != self.own.name
        )

    def jitter(self, mean: float) -> float:
        """Return a random time in seconds around a mean."""
        return self.generator.uniform(mean / 2, mean + mean / 2)
