"""Tests of answers with an encoded body."""

import h11
import pytest

from carobwalk.gateway._server_notice import ServerNotice
from carobwalk.gateway.upstream._answer_classifier import classify_answer
from carobwalk.gateway.upstream._outcomes import (
    Answered,
    AttemptOutcome,
    Lost,
    NotRun,
)
from carobwalk.platform import PLATFORM_HEADERS
from tests.gateway.harness import GatewayHarness
from tests.gateway.raw_scenarios import OPEN_HEAD, WHOLE, add_server, ask, run
from tests.http.raw_server import Ending, Script

_ENCODED = WHOLE.replace(OPEN_HEAD, b'%scontent-encoding: gzip\r\n' % OPEN_HEAD)
_Fields = list[tuple[str, str]]


def _classify(status: int, *fields: tuple[str, str]) -> AttemptOutcome:
    signature = ('response-signature', '1.2.3')
    response = h11.Response(status_code=status, headers=[signature, *fields])
    return classify_answer(response, b'x', PLATFORM_HEADERS)


class TestClassifier:
    # Guards against a body that callers can't read, as a whole success.
    @pytest.mark.parametrize('status', [200, 404, 500, 503])
    @pytest.mark.parametrize(
        'codings',
        [('gzip',), ('BR',), ('identity, gzip',), ('identity', 'x-own')],
    )
    def test_encoded(self, status: int, codings: tuple[str, ...]) -> None:
        """A signed answer with an encoded body counts as lost."""
        fields = [('Content-Encoding', coding) for coding in codings]
        assert isinstance(_classify(status, *fields), Lost)

    @pytest.mark.parametrize(
        'coding', ['identity', 'Identity', 'identity, identity', '']
    )
    def test_not_encoded(self, coding: str) -> None:
        """The identity coding, or none, leaves an answer valid."""
        outcome = _classify(200, ('Content-Encoding', coding))
        assert isinstance(outcome, Answered)

    @pytest.mark.parametrize(
        ('status', 'fields'),
        [(503, [('not-executed', '1')]), (421, [])],
    )
    def test_refusal(self, status: int, fields: _Fields) -> None:
        """A refusal with an encoded body still states that nothing ran."""
        outcome = _classify(status, *fields, ('Content-Encoding', 'gzip'))
        assert outcome == NotRun(status, ServerNotice())


class TestCallers:
    def test_write(self) -> None:
        """A write with an encoded answer gets 502, as it may have run."""
        script = Script(_ENCODED, Ending.CLOSE)
        answer, server = ask('POST', '/writes/a', script)
        assert answer.status == 502
        assert b'response-signature' not in answer.headers
        assert len(server.requests) == 1

    def test_read(self) -> None:
        """A read with an encoded answer is retried on another server."""

        async def scenario(harness: GatewayHarness) -> None:
            servers = [
                await add_server(harness, 'reads', Script(_ENCODED), name=name)
                for name in ('s1', 's2')
            ]
            answer = await harness.send_request('GET', '/reads/a')
            assert answer.status == 502
            assert [len(server.requests) for server in servers] == [1, 1]

        run(scenario)
