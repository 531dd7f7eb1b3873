"""Tests of the hashing of keys to shards."""

from hypothesis import given
from hypothesis import strategies as st

from carobwalk.model import Key
from carobwalk.ownership import shard_of

KNOWN_SHARDS = (41, 37, 26, 9)


class TestShardOf:
    @given(key=st.text(), count=st.integers(min_value=1, max_value=20_000))
    def test_range(self, key: str, count: int) -> None:
        """Every key falls into a shard below the count."""
        assert 0 <= shard_of(Key(key), count) < count

    def test_known_value(self) -> None:
        """The shard of a key is the same in every process and version."""
        shards = tuple(
            shard_of(Key(f'case-{number}'), 64) for number in range(4)
        )
        assert shards == KNOWN_SHARDS
