"""Dependencies of a configuration follower."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from carobwalk.events import EventLog
from carobwalk.model import Clock, Endpoint
from carobwalk.peer import Peers, Topics
from carobwalk.profiles.replication._follower_settings import FollowerSettings
from carobwalk.store import Store


@dataclass(frozen=True, slots=True, kw_only=True)
class FollowerParts:
    """Dependencies and settings of a configuration follower.

    Args:
        own: Endpoint of this process.
        store: Platform's key-value service.
        peers: Sends requests to other processes.
        topics: Registry of the handlers of peers' requests.
        known_peers: Returns the currently known processes, which may include
            this one.
        is_watcher: Returns whether this process watches the store.
        clock: Monotonic clock.
        events: Event log.
        generator: Random source for jitter and sampling.
        settings: Intervals and timeouts.
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
        """Return the known processes without this one."""
        return tuple(
            peer for peer in self.known_peers() if peer.name != self.own.name
        )

    def jitter(self, mean: float) -> float:
        """Return a random duration from 50 % to 150 % of a mean in seconds."""
        return self.generator.uniform(mean / 2, mean + mean / 2)

    async def pause(self) -> None:
        """Sleep for a random duration around ``settings.retry_seconds``."""
        await trio.sleep(self.jitter(self.settings.retry_seconds))
