"""Tests of the audit of callers against backend servers."""

from dataclasses import replace

import pytest

from carobwalk.model import Rank, ServerId, ServiceName
from standins.backend import RunRecord, RunState
from standins.load import Observation, ViolationKind, audit

SERVICE = ServiceName('claims-ledger')
SEEN = Observation(
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
NOT_RUN = replace(SEEN, status=503, outcome='not-run')
OTHER = replace(
    RUN,
    server=ServerId('server-2'),
    idempotency_key='action-2',
    mark='m-2',
    committed_at=5,
)


class TestAudit:
    def test_repeat(self) -> None:
        """A repeat may be given the first run's answer."""
        repeat = replace(SEEN, mark='m-2')
        assert not audit([SEEN, repeat], [RUN])

    def test_not_run(self) -> None:
        """A request without an effect may be told not to have run."""
        assert not audit([NOT_RUN], [replace(RUN, state=RunState.REFUSED)])

    def test_cut_answer(self) -> None:
        """An answer that was cut off promises nothing."""
        assert not audit([replace(SEEN, is_whole=False)], [])

    def test_moved_shard(self) -> None:
        """A shard may pass to another server with a higher token."""
        assert not audit([], [RUN, replace(OTHER, token='2.1')])

    @pytest.mark.parametrize(
        ('seen', 'runs', 'kind'),
        [
            (NOT_RUN, [RUN], ViolationKind.RAN_ALTHOUGH_NOT_RUN),
            (SEEN, [], ViolationKind.COMPLETE_WITHOUT_RUN),
            (replace(SEEN, is_astray=True), [RUN], ViolationKind.ASTRAY),
            (SEEN, [RUN, replace(RUN, number=2)], ViolationKind.DOUBLE_RUN),
            (SEEN, [RUN, OTHER], ViolationKind.TWO_OWNERS),
            (
                SEEN,
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
        seen: Observation,
        runs: list[RunRecord],
        kind: ViolationKind,
    ) -> None:
        """Each kind of broken promise is found."""
        assert [found.kind for found in audit([seen], runs)] == [kind]
