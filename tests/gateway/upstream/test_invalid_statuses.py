"""Tests of answers whose status is none of a final answer."""

import pytest

from tests.gateway.raw_scenarios import WHOLE, ask
from tests.http.raw_server import Ending, Script


class TestInvalidStatus:
    @pytest.mark.parametrize(
        'status',
        [b'000', b'001', b'099', b'100', b'101', b'199', b'600', b'999'],
    )
    @pytest.mark.parametrize('ending', [Ending.CLOSE, Ending.RESET])
    def test_unknown_outcome(self, status: bytes, ending: Ending) -> None:
        """The caller is told that the outcome is unknown."""
        # Guards against passing on a status that means nothing to callers.
        script = Script(WHOLE.replace(b'200', status, 1), ending)
        answer, server = ask('POST', '/writes/a', script)
        assert answer.status == 502
        assert answer.body.startswith(b'outcome unknown')
        assert len(server.requests) == 1

    @pytest.mark.parametrize('status', [b'299', b'599'])
    def test_valid(self, status: bytes) -> None:
        """Unusual statuses of HTTP are passed on."""
        # Guards against a limit that is too narrow.
        script = Script(WHOLE.replace(b'200', status, 1), Ending.CLOSE)
        assert ask('POST', '/writes/a', script)[0].status == int(status)
