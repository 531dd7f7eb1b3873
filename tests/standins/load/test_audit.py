"""Tests of the audit of responses against runs."""

from dataclasses import replace

import pytest

from carobwalk.model import Rank, ServerId, ServiceName
from standins.backend import RunRecord, RunState
from standins.load import Observation, ViolationKind, audit

SERVICE = ServiceName('claims-ledger')
OBSERVATION = Observation(
    entry='127.0.0.1:1',
    service=SERVICE,
    rank=Rank.MONEY,
    method='POST',
    key='a',
    mark='m-1',
    idempotency_key='action-1',
    sent_at=0,
    ended_at=9,
    status=200,
    outcome='complete',
    is_whole=True,
)
RUN = RunRecord(
    server=ServerId('server-1'),
    service=SERVICE,
    incarnation='i',
    number=1,
    state=RunState.COMPLETE,
    request='r',
    idempotency_key='action-1',
    method='POST',
    path='/claims/a',
    key='a',
    mark='m-1',
    shard=3,
    token='1.2',
    started_at=1,
    committed_at=2,
    ended_at=3,
)
NOT_RUN = replace(OBSERVATION, status=503, outcome='not-run')
OTHER = replace(
    RUN,
    server=ServerId('server-2'),
    idempotency_key='action-2',
    mark='m-2',
    committed_at=5,
)


class TestAudit:
    def test_repeat(self) -> None:
        """A retry may get the response of the first run."""
        repeat = replace(OBSERVATION, mark='m-2')
        assert not audit([OBSERVATION, repeat], [RUN])

    def test_not_run(self) -> None:
        """A request without an effect may be reported as not run."""
        assert not audit([NOT_RUN], [replace(RUN, state=RunState.REFUSED)])

    def test_truncated_response(self) -> None:
        """A truncated response reports no outcome."""
        assert not audit([replace(OBSERVATION, is_whole=False)], [])

    def test_moved_shard(self) -> None:
        """A shard may move to another server with a higher token."""
        assert not audit([], [RUN, replace(OTHER, token='2.1')])

    @pytest.mark.parametrize(
        ('observation', 'runs', 'kind'),
        [
            (NOT_RUN, [RUN], ViolationKind.RAN_ALTHOUGH_NOT_RUN),
            (OBSERVATION, [], ViolationKind.COMPLETE_WITHOUT_RUN),
            (replace(OBSERVATION, is_astray=True), [RUN], ViolationKind.ASTRAY),
            (
                OBSERVATION,
                [RUN, replace(RUN, number=2)],
                ViolationKind.DOUBLE_RUN,
            ),
            (OBSERVATION, [RUN, OTHER], ViolationKind.TWO_OWNERS),
            (
                OBSERVATION,
                [
                    RUN,
                    replace(OTHER, token='1.3'),
                    replace(RUN, idempotency_key=None, committed_at=7),
                ],
                ViolationKind.TWO_OWNERS,
            ),
        ],
    )
    def test_violations(
        self,
        observation: Observation,
        runs: list[RunRecord],
        kind: ViolationKind,
    ) -> None:
        """Each kind of violation is found."""
        assert [found.kind for found in audit([observation], runs)] == [kind]
