"""Tests of the bound on the memory of answers."""

from hypothesis import given
from hypothesis import strategies as st

from carobwalk.http import AnswerMemory, AnswerShare

_LIMIT_BYTES = 9_000_000
_SMALL_BYTES = 16_384


class TestAnswerMemory:
    def test_part_of_free(self) -> None:
        """An answer may use a third of what the others leave free."""
        memory = AnswerMemory(_LIMIT_BYTES)
        first, second = AnswerShare(memory), AnswerShare(memory)
        assert not first.grow_to(3_000_001)
        assert first.grow_to(3_000_000)
        assert not second.grow_to(2_000_001)
        assert second.grow_to(2_000_000)
        assert memory.held_bytes == 5_000_000

    def test_release(self) -> None:
        """Released memory is free for other answers, and only once."""
        memory = AnswerMemory(_LIMIT_BYTES)
        first, second = AnswerShare(memory), AnswerShare(memory)
        assert first.grow_to(3_000_000)
        first.release()
        first.release()
        assert memory.held_bytes == 0
        assert second.grow_to(3_000_000)

    def test_small_answers(self) -> None:
        """Small answers are always accepted."""
        # Guards against large answers that keep out the usual ones.
        memory = AnswerMemory(_LIMIT_BYTES)
        for _ in range(100):
            AnswerShare(memory).grow_to(
                (_LIMIT_BYTES - memory.held_bytes) // 3,
            )
        assert AnswerShare(memory).grow_to(_SMALL_BYTES)

    @given(
        st.lists(
            st.tuples(st.integers(0, 9), st.integers(0, _LIMIT_BYTES)),
        ),
    )
    def test_limit(self, steps: list[tuple[int, int]]) -> None:
        """Answers that grow and end in any order stay below the limit."""
        memory = AnswerMemory(_LIMIT_BYTES)
        shares = [AnswerShare(memory) for _ in range(10)]
        for index, size_bytes in steps:
            if not shares[index].grow_to(size_bytes):
                shares[index].release()
            assert 0 <= memory.held_bytes <= _LIMIT_BYTES
        for share in shares:
            share.release()
        assert memory.held_bytes == 0
