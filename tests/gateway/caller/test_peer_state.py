"""State of a caller's TCP connection."""

import errno
from types import SimpleNamespace

import pytest

from carobwalk.gateway.caller._peer_state import has_peer_left

_CLOSE_WAIT = 8
_ESTABLISHED = 1


def _stream(state: bytes | int) -> SimpleNamespace:
    """Return a stream whose system tells a state or fails with an error."""

    def getsockopt(*_: object) -> bytes:
        if isinstance(state, int):
            raise OSError(state, 'failed')
        return state

    return SimpleNamespace(socket=SimpleNamespace(getsockopt=getsockopt))


class TestPeerState:
    @pytest.mark.parametrize(
        ('state', 'has_left'),
        [
            (bytes((_ESTABLISHED,)), False),
            (bytes((_CLOSE_WAIT,)), True),
            (b'', False),
            (errno.EBADF, True),
            (errno.ENOPROTOOPT, False),
            (errno.EOPNOTSUPP, False),
        ],
    )
    def test_has_left(self, state: bytes | int, has_left: bool) -> None:
        """Only a closed connection counts as left.

        Guards against requests that are cancelled because the system doesn't
        tell the state of connections.
        """
        assert has_peer_left(_stream(state)) is has_left
