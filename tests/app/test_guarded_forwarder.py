"""Tests of the conversion of exceptions to failures."""

import pytest
import trio
from result import Err, Result

from carobwalk.app._guarded_forwarder import GuardedForwarder, RequestCrashed
from carobwalk.dispatch import DoubleSendError
from carobwalk.model import (
    Call,
    CallerGoneError,
    Completion,
    Failure,
    FailureKind,
    Outcome,
    Placement,
    ReplySink,
)
from tests.dispatch.calls import call_of, endpoint_of, placement_of
from tests.dispatch.fakes import ListSink
from tests.recording_log import RecordingLog


class _FailingForwarder:
    """Forwarder that raises before or after the first byte is sent."""

    def __init__(self, error: Exception, *, is_sent: bool) -> None:
        self._error = error
        self._is_sent = is_sent

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        call.progress.record(is_sent=self._is_sent)
        raise self._error


async def _forward(
    failing: _FailingForwarder,
    log: RecordingLog,
) -> Result[Completion, Failure]:
    guarded = GuardedForwarder(failing, log)
    placement = placement_of(endpoint_of('s'))
    return await guarded.forward(call_of(b''), placement, ListSink())


class TestGuardedForwarder:
    @pytest.mark.parametrize('is_sent', [True, False])
    def test_unexpected_exception(self, *, is_sent: bool) -> None:
        """An unexpected exception is logged and fails one request only."""
        log = RecordingLog()
        failing = _FailingForwarder(DoubleSendError('r'), is_sent=is_sent)
        ended = trio.run(_forward, failing, log)
        assert isinstance(ended, Err)
        assert ended.err_value.kind is FailureKind.INTERNAL
        expected = Outcome.UNKNOWN if is_sent else Outcome.NOT_RUN
        assert ended.err_value.outcome is expected
        assert isinstance(log.events[0], RequestCrashed)
        assert log.events[0].error == 'DoubleSendError'

    def test_caller_gone(self) -> None:
        """The loss of the caller is propagated and not logged as a crash."""
        log = RecordingLog()
        failing = _FailingForwarder(CallerGoneError('gone'), is_sent=True)
        with pytest.raises(CallerGoneError):
            trio.run(_forward, failing, log)
        assert not log.events
