"""Following of store records by all processes with few calls to the store."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from carobwalk.events import EventLog
from carobwalk.model import Clock, Endpoint
from carobwalk.peer import Peers
from carobwalk.relay._freshness import Freshness, FreshnessTimes
from carobwalk.relay._record_feed import RecordFeed
from carobwalk.relay._record_log import RecordLog
from carobwalk.relay._relay_choice import RelayChoice
from carobwalk.relay._relay_client import RelayClient
from carobwalk.relay._relay_directory import RELAY_PREFIX, RelayDirectory
from carobwalk.relay._relay_follower import RelayFollower, RelayFollowerParts
from carobwalk.relay._relay_role import RelayHost, RelayRole, RelayRoleParts
from carobwalk.store import (
    DirectAccess,
    FollowedRecords,
    ReadOptions,
    RecordFollower,
    RecordReader,
    TransactionalStore,
    WatchPeriod,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordRelayParts:
    """Dependencies of the following and relaying of records.

    Args:
        own: Endpoint of this process.
        host: Resources of its host.
        store: Key-value service.
        peers: Sends messages to other processes.
        is_coordinator: Returns whether this process coordinates. Changes are
            then not batched, since the assignment of keys depends on them.
        times: Times that keep the knowledge of the records young.
        clock: Clock that keeps running while the host is suspended.
        events: Event log.
    """

    own: Endpoint
    host: RelayHost
    store: TransactionalStore
    peers: Peers
    is_coordinator: Callable[[], bool]
    times: FreshnessTimes
    clock: Clock
    events: EventLog


class RecordRelay:
    """Follows records of several prefixes, and relays them to other processes.

    Args:
        parts: Dependencies.
    """

    def __init__(self, parts: RecordRelayParts) -> None:
        self._parts = parts
        self._access = DirectAccess()
        self._followers: list[RecordFollower] = []
        self._records: list[FollowedRecords] = []
        self._freshness = Freshness(parts.clock)
        self.feed = RecordFeed(
            lambda: self.role.is_fresh, self._freshness, parts.clock
        )
        relays = RelayDirectory(parts.own, parts.events)
        relay_records = self.follow(RELAY_PREFIX, relays, is_timely=False)
        self.role = RelayRole(
            RelayRoleParts(
                own=parts.own,
                host=parts.host,
                store=parts.store,
                relays=relays,
                relay_records=relay_records,
                followers=self._followers,
                freshness=self._freshness,
                times=parts.times,
                access=self._access,
                clock=parts.clock,
                events=parts.events,
            ),
        )
        self.follower = RelayFollower(
            RelayFollowerParts(
                client=RelayClient(
                    parts.peers,
                    self._records,
                    self._freshness,
                    parts.times,
                    parts.clock,
                ),
                choice=RelayChoice(relays, parts.clock, parts.events),
                relay_records=relay_records,
                followers=self._followers,
                freshness=self._freshness,
                times=parts.times,
                access=self._access,
                is_coordinator=parts.is_coordinator,
                clock=parts.clock,
            ),
        )

    def follow(
        self, prefix: str, reader: RecordReader, *, is_timely: bool = True
    ) -> RecordFollower:
        """Follow the records with a prefix, the same ones in all processes.

        Args:
            prefix: Common prefix of the record names.
            reader: Receives the records.
            is_timely: Whether changes have to be in force within a time.
        """
        parts = self._parts
        log = RecordLog(prefix, reader, parts.clock, self.feed.notify)
        follower = RecordFollower(
            parts.store,
            prefix,
            log,
            parts.clock,
            parts.events,
            ReadOptions(
                access=self._access,
                period=parts.times.watch_period if is_timely else WatchPeriod(),
                on_proof=self.feed.notify,
            ),
        )
        if is_timely:
            self._freshness.add(follower.records)
        self.feed.logs.append(log)
        self._followers.append(follower)
        self._records.append(follower.records)
        return follower

    def start(self, nursery: trio.Nursery) -> None:
        """Start to follow; it goes on until the nursery is cancelled."""
        for follower in self._followers:
            nursery.start_soon(follower.run)
        nursery.start_soon(self.feed.run)
        nursery.start_soon(self.follower.run)
        nursery.start_soon(self.role.run)
