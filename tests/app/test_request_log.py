"""Tests of the metrics and events of finished requests."""

import pytest

from carobwalk.app._request_log import RequestLog
from carobwalk.entry import RequestEnded
from carobwalk.metrics import Metrics
from carobwalk.model import (
    FailureKind,
    Outcome,
    Rank,
    RequestId,
    ServiceName,
)
from tests.recording_log import RecordingLog


def _finished_request(rank: Rank, outcome: Outcome) -> RequestEnded:
    is_complete = outcome is Outcome.COMPLETE
    return RequestEnded(
        request=RequestId('r'),
        service=ServiceName('dat-hang'),
        rank=rank,
        outcome=outcome,
        failure=None if is_complete else FailureKind.SHED,
        server=None,
        seconds=0.1,
        sent_bytes=0,
        received_bytes=0,
    )


class TestRequestLog:
    @pytest.mark.parametrize(
        ('rank', 'outcome', 'event_count'),
        [
            (Rank.LOOKUP, Outcome.COMPLETE, 0),
            (Rank.LOOKUP, Outcome.UNKNOWN, 1),
            (Rank.MONEY, Outcome.COMPLETE, 1),
            (Rank.MONEY, Outcome.UNKNOWN, 1),
            (Rank.MONEY, Outcome.NOT_RUN, 0),
            (Rank.BULK, Outcome.NOT_RUN, 0),
        ],
    )
    def test_logged_outcomes(
        self,
        rank: Rank,
        outcome: Outcome,
        event_count: int,
    ) -> None:
        """Refusals and complete lookups are counted but not logged."""
        log = RecordingLog()
        metrics = Metrics('p')
        RequestLog(log, metrics).observe(_finished_request(rank, outcome))
        assert len(log.events) == event_count
        assert f'outcome="{outcome}"'.encode() in metrics.render()
