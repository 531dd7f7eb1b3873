"""Maps of keys and their records."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from carobwalk.keyspace._codec import decode_map, encode_map, is_settled
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import MOST_KEY, KeyRange, ServerLife
from carobwalk.model import ServerId

LIFE = ServerLife(ServerId('a'), 1)
WHOLE = KeyMap([KeyRange(first=0, last=MOST_KEY, owner=LIFE, fence=1)])

_keys = st.integers(0, MOST_KEY)
_assignments = st.lists(
    st.tuples(_keys, _keys, st.sampled_from('abc')),
    max_size=12,
)


class TestKeyMap:
    @given(_assignments, st.lists(_keys, min_size=1, max_size=20))
    def test_last_assignment_counts(self, assignments, keys) -> None:
        """Each key belongs to the last range laid over it."""
        key_map = WHOLE
        owners_by_key = dict.fromkeys(keys, LIFE)
        for one, other, name in assignments:
            first, last = min(one, other), max(one, other)
            life = ServerLife(ServerId(name), 2)
            laid = KeyRange(first=first, last=last, owner=life, fence=2)
            key_map = key_map.assign((laid,))
            for key in keys:
                if first <= key <= last:
                    owners_by_key[key] = life
        assert key_map.is_complete()
        found = {key: key_map.find(key).owner for key in keys}
        assert found == owners_by_key

    def test_gap(self) -> None:
        """A map with a gap is not complete."""
        part = KeyRange(first=1, last=MOST_KEY, owner=LIFE)
        assert not KeyMap([part]).is_complete()

    def test_neighbours_join(self) -> None:
        """Neighbours with one grant become one range."""
        cut = WHOLE.assign(
            [replace(WHOLE.ranges[0], first=10, last=20)],
        )
        assert len(cut) == 1


class TestRecord:
    def test_round_trip(self) -> None:
        """A record gives the map back; new ranges get its revision."""
        key_map = WHOLE.assign(
            [
                KeyRange(
                    first=5,
                    last=9,
                    owner=ServerLife(ServerId('b'), 7),
                    previous=(LIFE,),
                ),
            ],
        )
        decoded = decode_map(encode_map(key_map), 40).ok_value
        assert decoded.find(0).fence == 1
        assert decoded.find(7) == replace(key_map.find(7), fence=40)
        assert decoded.revision == 40

    def test_damaged(self) -> None:
        """Bytes that are no record are a typed error."""
        for content in (b'', b'{}', b'{"lives":[],"ranges":[[0,9,3,1,true]]}'):
            assert isinstance(decode_map(content, 1), Err)

    def test_settled(self) -> None:
        """Only a record that says so is settled."""
        assert is_settled(encode_map(WHOLE, is_settled=True))
        assert not is_settled(encode_map(WHOLE))
        assert not is_settled(b'?')
        assert isinstance(decode_map(encode_map(WHOLE), 1), Ok)
