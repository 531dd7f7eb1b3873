"""Maps told from process to process."""

from dataclasses import replace

import msgspec
import trio
from trio.testing import MockClock

from carobwalk.events import NullEventLog
from carobwalk.keyspace import KeyReader, MapFeed
from carobwalk.keyspace import _map_feed as map_feed
from carobwalk.keyspace._codec import encode_map
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import KeyRange, ServerLife
from carobwalk.keyspace._map_messages import (
    MapAnswer,
    MapQuestion,
    MapUpdate,
    MapVersion,
)
from carobwalk.model import ProcessId, ServerId
from tests.keyspace.scene import SERVICE
from tests.keyspace.test_key_map import WHOLE


def follow(feed: MapFeed, reader: KeyReader) -> MapAnswer:
    """Ask once, and take what is answered."""

    async def body() -> MapAnswer:
        question = msgspec.msgpack.encode(MapQuestion(reader.versions()))
        answered = await feed.answer(ProcessId('a'), question)
        return msgspec.msgpack.decode(answered, type=MapAnswer)

    answer = trio.run(body, clock=MockClock(autojump_threshold=0))
    for update in answer.updates:
        reader.take_update(update)
    return answer


def make_map(revision: int, *parts: KeyRange) -> KeyMap:
    """Return a map with parts laid over one range."""
    changed = WHOLE.assign(parts)
    return KeyMap(changed.ranges, revision)


def make_part(first: int, name: str, **changes) -> KeyRange:
    """Return a range of ten keys."""
    life = ServerLife(ServerId(name), 1)
    part = KeyRange(first=first, last=first + 9, owner=life, fence=3)
    return replace(part, **changes)


class TestMapFeed:
    def test_changes_only(self) -> None:
        """A process that is up to date gets just what changed."""
        feed = MapFeed()
        feed.is_coordinator = True
        reader = KeyReader(NullEventLog())
        first = make_map(
            5, *(make_part(number * 100, f's{number}') for number in range(9))
        )
        feed.publish(SERVICE, first)
        whole = follow(feed, reader)
        granted = first.assign([make_part(300, 's3', is_granted=True)])
        feed.publish(SERVICE, granted)
        change = follow(feed, reader)
        assert reader.map_of(SERVICE).ranges == granted.ranges
        sizes = [len(answer.updates[0].content) for answer in (whole, change)]
        assert sizes[1] < sizes[0] / 4

    def test_record_with_an_older_state(self) -> None:
        """A record lacks the grants that were confirmed while it was written.

        Changes that were laid over it left such a range without an owner at
        one process for ever.
        """
        feed = MapFeed()
        feed.is_coordinator = True
        reader = KeyReader(NullEventLog())
        record = make_map(5, make_part(300, 's3'))
        reader.take_update(
            MapUpdate(SERVICE, MapVersion(5), encode_map(record)),
        )
        granted = record.assign([make_part(300, 's3', is_granted=True)])
        feed.publish(SERVICE, granted)
        follow(feed, reader)
        newest = granted.assign([make_part(700, 's7')])
        feed.publish(SERVICE, newest)
        follow(feed, reader)
        assert reader.map_of(SERVICE).ranges == newest.ranges

    def test_far_behind(self) -> None:
        """A process that missed many versions gets the whole map."""
        feed = MapFeed()
        feed.is_coordinator = True
        reader = KeyReader(NullEventLog())
        feed.publish(SERVICE, make_map(5))
        follow(feed, reader)
        for revision in range(6, 60):
            newest = make_map(revision, make_part(revision, 's'))
            feed.publish(SERVICE, newest)
        assert follow(feed, reader).updates[0].base is None
        assert reader.map_of(SERVICE).ranges == newest.ranges

    def test_other_base(self) -> None:
        """Changes of a map that the process does not hold are not taken."""
        feed = MapFeed()
        feed.is_coordinator = True
        reader, other = KeyReader(NullEventLog()), KeyReader(NullEventLog())
        feed.publish(SERVICE, make_map(5))
        follow(feed, reader)
        feed.publish(SERVICE, make_map(6, make_part(0, 's')))
        change = follow(feed, reader)
        other.take_update(change.updates[0])
        assert other.map_of(SERVICE) is None

    def test_no_news(self) -> None:
        """Without news the answer comes after a while, and is empty."""
        feed = MapFeed()
        feed.is_coordinator = True
        answer = follow(feed, KeyReader(NullEventLog()))
        assert answer.is_coordinator
        assert answer.updates == ()

    def test_deposed(self) -> None:
        """A process that does not coordinate says so at once."""
        assert not follow(MapFeed(), KeyReader(NullEventLog())).is_coordinator


def test_many_processes_share_an_update(monkeypatch) -> None:
    """Pattern: 70 processes that know the same map ask after one change."""
    encoded = 0
    encode = map_feed.encode_map

    def count(parts) -> bytes:
        nonlocal encoded
        encoded += 1
        return encode(parts)

    monkeypatch.setattr(map_feed, 'encode_map', count)
    feed = MapFeed()
    feed.is_coordinator = True
    first = make_map(5, make_part(0, 's0'))
    feed.publish(SERVICE, first)
    readers = [KeyReader(NullEventLog()) for _ in range(70)]
    for reader in readers:
        follow(feed, reader)
    feed.publish(SERVICE, first.assign([make_part(300, 's3')]))
    for reader in readers:
        follow(feed, reader)
    assert encoded == 2
    for reader in readers:
        assert reader.map_of(SERVICE).find(300).owner.server == 's3'
