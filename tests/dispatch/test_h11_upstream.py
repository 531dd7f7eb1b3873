"""Tests of the connections to a backend server."""

import pytest
import trio
from result import Ok

from carobwalk.dispatch import (
    ConnectionLimitError,
    H11Upstream,
    SendGate,
    SendTokens,
    UpstreamRequest,
)
from carobwalk.model import FenceToken, TrioClock
from tests.dispatch.calls import call_of, endpoint_of
from tests.dispatch.fakes import ListSink

TOKENS = SendTokens(FenceToken(1, 1), FenceToken(1, 1))


class TestConnections:
    def test_never_exceed_the_limit(self) -> None:
        """Opening more connections than the limit raises an error."""

        async def case() -> None:
            upstream = H11Upstream(endpoint_of('full'), 0, TrioClock())
            gate = SendGate(lambda: Ok(TOKENS), idempotent=True, name='r')
            call = call_of()
            request = UpstreamRequest(call.head, call.body, None, gate, 1)
            with pytest.raises(ConnectionLimitError):
                await upstream.exchange(request, ListSink())
            assert gate.sends == 0

        trio.run(case)
