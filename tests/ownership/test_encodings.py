"""Tests of the encodings of records and messages, and of applying pushes."""

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from carobwalk.http import HttpResponse
from carobwalk.model import (
    Address,
    DataCentreName,
    Endpoint,
    FenceToken,
    ProcessId,
    RegionName,
    ServerId,
    ServiceName,
    ShardNumber,
)
from carobwalk.ownership import (
    HttpGrantChannel,
    MapRevisionFellError,
    ServerRow,
    ShardRow,
)
from carobwalk.ownership._codec import decode_push, encode_push
from carobwalk.ownership._exceptions import RecordTooLargeError
from carobwalk.ownership._group_record import (
    GroupRecord,
    decode_group,
    encode_group,
)
from carobwalk.ownership._group_view import GroupView
from carobwalk.ownership._map_push import MapPush
from carobwalk.ownership._server_messages import FenceOrder
from carobwalk.ownership._succession import Holder, Succession
from tests.store._senders import FixedSender

NAMES = st.text(st.characters(codec='ascii', min_codepoint=33), min_size=1)
HOLDERS = st.builds(Holder, NAMES.map(ServerId), NAMES)
SUCCESSIONS = st.dictionaries(
    st.tuples(
        NAMES.map(ServiceName),
        st.integers(0, 100_000).map(ShardNumber),
    ),
    st.builds(Succession, HOLDERS, st.none() | HOLDERS),
)
ENDPOINT = Endpoint(
    'dc1-entry0',
    Address('127.0.0.1', 7),
    RegionName('north'),
    DataCentreName('dc1'),
)


def push(revision: int, sequence: int, *rows: ShardRow) -> MapPush:
    """Return a push of a whole map."""
    return MapPush(
        group='north/dc1',
        epoch=2,
        revision=revision,
        sequence=sequence,
        base=0,
        coordinator=ENDPOINT,
        shards=rows,
    )


class TestGroupRecord:
    @given(successions=SUCCESSIONS)
    def test_round_trip(
        self,
        successions: dict[tuple[ServiceName, ShardNumber], Succession],
    ) -> None:
        """Decoding an encoded record returns the record."""
        record = GroupRecord(
            epoch=3,
            coordinator=ProcessId('dc1-entry0'),
            write_id='a',
            successions=successions,
        )
        assert decode_group(encode_group(record)) == record

    def test_too_large(self) -> None:
        """Encoding a record above the store's size limit raises an error."""
        holder = Holder(ServerId('s'), 'a')
        record = GroupRecord(
            epoch=1,
            coordinator=ProcessId('p'),
            write_id='a',
            successions={
                (ServiceName('claims'), ShardNumber(number)): Succession(
                    holder,
                    None,
                )
                for number in range(100_000)
            },
        )
        with pytest.raises(RecordTooLargeError):
            encode_group(record)


class TestMapPush:
    def test_round_trip(self) -> None:
        """Decoding an encoded push returns the push."""
        service = ServiceName('claims')
        sent = MapPush(
            group='north/dc1',
            epoch=2,
            revision=5,
            sequence=9,
            base=4,
            coordinator=ENDPOINT,
            dispatchers=(ENDPOINT,),
            servers=(
                ServerRow(ENDPOINT, service, ProcessId('p'), leaving=True),
            ),
            removed=(ServerId('gone'),),
            shards=(
                ShardRow(
                    service,
                    ShardNumber(3),
                    ServerId('s'),
                    FenceToken(2, 7),
                    ServerId('t'),
                ),
                ShardRow(service, ShardNumber(4)),
            ),
            leases=(ServerId('s'),),
            echo=1.5,
            ttl=0.6,
            record=8,
            resigning=True,
        )
        assert decode_push(encode_push(sent)) == sent


class TestGroupView:
    def test_stale_push(self) -> None:
        """A push that arrives after a later one is ignored."""
        view = GroupView()
        assert view.accept(push(6, 2), 0)
        assert not view.accept(push(5, 1), 0)
        assert view.revision == 6

    def test_fallen_revision(self) -> None:
        """A later push with a lower revision violates an invariant."""
        view = GroupView()
        view.accept(push(6, 2), 0)
        with pytest.raises(MapRevisionFellError):
            view.accept(push(5, 3), 0)


class TestGrantReport:
    @pytest.mark.parametrize(
        'body', [b'', b'{"a":%s' % (b'[' * 20_000)], ids=['empty', 'nested']
    )
    def test_undecodable(self, body: bytes) -> None:
        """A report that can't be decoded is a failure of its order."""

        async def case() -> None:
            channel = HttpGrantChannel(
                FixedSender(Ok(HttpResponse(200, body=body)))
            )
            order = FenceOrder(group='north/dc1', epoch=2)
            assert isinstance(await channel.send(ENDPOINT, order, 1), Err)

        trio.run(case)
