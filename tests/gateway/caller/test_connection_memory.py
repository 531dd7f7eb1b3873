"""Tests of the memory of a connection's requests and responses."""

from carobwalk.gateway.caller._answer_sizes import AnswerSizes
from carobwalk.gateway.caller._connection_memory import ConnectionMemory
from carobwalk.http import AnswerMemory

_LIMIT_BYTES = 3_000_000


class TestConnectionMemory:
    def test_one_share(self) -> None:
        """All messages of a connection get what a single one may have."""
        # Guards against a connection that takes nearly all memory by many
        # messages, each of which is within its limit.
        memory = AnswerMemory(_LIMIT_BYTES)
        connection = ConnectionMemory(memory)
        shares = [connection.share() for _ in range(16)]
        granted = [share.grow_to(300_000) for share in shares]
        assert granted.count(True) == 3
        assert memory.held_bytes == 900_000
        assert connection.free_bytes == 100_000
        assert ConnectionMemory(memory).share().grow_to(600_000)

    def test_small_messages(self) -> None:
        """Many small messages count, one does not."""
        # Guards against 16 uncounted responses on each connection.
        memory = AnswerMemory(_LIMIT_BYTES)
        connection = ConnectionMemory(memory)
        shares = [connection.share() for _ in range(16)]
        assert shares[0].grow_to(16_000)
        assert not memory.held_bytes
        for share in shares:
            assert share.grow_to(16_000)
        assert memory.held_bytes == 16 * 16_000

    def test_release(self) -> None:
        """Nothing stays counted when messages or the connection end."""
        # Guards against memory that is used up after some time.
        memory = AnswerMemory(_LIMIT_BYTES)
        connection = ConnectionMemory(memory)
        shares = [connection.share() for _ in range(3)]
        for share in shares:
            share.grow_to(100_000)
        for share in shares[:2]:
            share.release()
            share.release()
        assert memory.held_bytes == 100_000
        connection.release()
        assert not memory.held_bytes

    def test_asked(self) -> None:
        """A size that was refused is remembered."""
        # Guards against an expectation that only answers which fit raise.
        share = ConnectionMemory(AnswerMemory(_LIMIT_BYTES)).share()
        assert not share.grow_to(2_000_000)
        assert share.asked_bytes == 2_000_000
        assert not share.held_bytes


class TestAnswerSizes:
    def test_expected(self) -> None:
        """The largest answer counts, and less so after smaller ones."""
        # Guards against answers that run at once and do not fit together.
        sizes = AnswerSizes()
        assert sizes.expected('a')
        sizes.record('a', 8000)
        sizes.record('a', 0)
        assert sizes.expected('a') == 7000
        for _ in range(99):
            sizes.record('a', 100)
        assert sizes.expected('a') < 200
