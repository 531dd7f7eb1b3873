"""Tests of the decisions on pipelined requests."""

from dataclasses import dataclass

from carobwalk.gateway.caller._pipeline import Pipeline, Stage

_FREE_BYTES = 1000


@dataclass
class FakeRequest:
    """Request as far as the pipeline is concerned."""

    is_idempotent: bool = True
    is_last: bool = False
    missing_bytes: int = 0
    stage: Stage = Stage.WAITING


class FakeStop:
    """Stop of the process."""

    has_begun = False

    def __call__(self) -> bool:
        """Return whether the stop has begun."""
        return self.has_begun


def _pipeline(*requests: FakeRequest, stop: FakeStop | None = None):
    pipeline = Pipeline[FakeRequest](stop or FakeStop())
    for request in requests:
        pipeline.add(request)
    return pipeline


class TestStart:
    def test_idempotent(self) -> None:
        """Idempotent requests start at once, each one time."""
        # Guards against requests that run in turns, or twice.
        requests = [FakeRequest() for _ in range(3)]
        pipeline = _pipeline(*requests)
        assert pipeline.start(0) == requests
        assert not pipeline.start(0)

    def test_not_idempotent(self) -> None:
        """A write starts when all before it are sent; the rest waits for it."""
        # Guards against a write that runs although its caller, which has left,
        # never got the response before it.
        read, write, after = FakeRequest(), FakeRequest(False), FakeRequest()
        pipeline = _pipeline(read, write, after)
        assert pipeline.start(0) == [read]
        pipeline.record_response(read)
        assert not pipeline.start(0)
        pipeline.remove_first()
        assert pipeline.start(0) == [write]
        assert not pipeline.start(0)
        pipeline.record_response(write)
        assert pipeline.start(0) == [after]

    def test_memory(self) -> None:
        """Requests join while their responses fit; the first always starts."""
        # Guards against responses that fail for want of memory because of
        # other requests of the same connection.
        requests = [FakeRequest(missing_bytes=400) for _ in range(4)]
        pipeline = _pipeline(*requests)
        assert pipeline.start(_FREE_BYTES) == requests[:2]
        pipeline.record_response(requests[0])
        pipeline.remove_first()
        assert pipeline.start(_FREE_BYTES) == requests[2:3]
        large = FakeRequest(missing_bytes=_FREE_BYTES * 2)
        assert _pipeline(large).start(0) == [large]

    def test_stop(self) -> None:
        """During a stop, no request joins those that run."""
        # Guards against a stop that lasts as long as the caller's queue.
        stop = FakeStop()
        stop.has_begun = True
        requests = [FakeRequest(), FakeRequest()]
        pipeline = _pipeline(*requests, stop=stop)
        assert pipeline.start(0) == requests[:1]
        assert not pipeline.may_read
        assert pipeline.closes_after(requests[0])

    def test_stop_behind_running(self) -> None:
        """A response doesn't close the connection before begun requests."""
        # Guards against requests that are accepted, run and never answered.
        stop = FakeStop()
        requests = [FakeRequest(), FakeRequest(), FakeRequest(False)]
        pipeline = _pipeline(*requests, stop=stop)
        pipeline.start(0)
        stop.has_begun = True
        assert not pipeline.closes_after(requests[0])
        pipeline.record_response(requests[0])
        pipeline.remove_first()
        assert pipeline.closes_after(requests[1])


class TestRead:
    def test_limit(self) -> None:
        """No more than 16 requests are read ahead, answered ones included."""
        # Guards against a slow reader whose responses fill the memory.
        requests = [FakeRequest() for _ in range(16)]
        pipeline = _pipeline(*requests)
        pipeline.start(0)
        for request in requests:
            pipeline.record_response(request)
        assert not pipeline.may_read
        pipeline.remove_first()
        assert pipeline.may_read

    def test_last(self) -> None:
        """Nothing is read behind a request that closes the connection."""
        # Guards against requests that run behind a refusal.
        assert not _pipeline(FakeRequest(is_last=True)).may_read


class TestResponses:
    def test_order(self) -> None:
        """Only the response to the first request is to be sent."""
        # Guards against responses in the order of their completion.
        first, second = FakeRequest(), FakeRequest()
        pipeline = _pipeline(first, second)
        pipeline.start(0)
        pipeline.record_response(second)
        assert pipeline.next_response() is None
        pipeline.record_response(first)
        assert pipeline.next_response() is first


class TestEnd:
    def test_end(self) -> None:
        """Waiting requests are dropped and never start, running are named."""
        # Guards against a request that is sent after its caller has left.
        read, write, after = FakeRequest(), FakeRequest(False), FakeRequest()
        refused = FakeRequest(is_last=True, stage=Stage.ANSWERED)
        pipeline = _pipeline(read, write, after, refused)
        pipeline.start(0)
        assert pipeline.end() == ([write, after], [read])
        assert pipeline.size == 1
        pipeline.record_response(read)
        pipeline.remove_first()
        assert not pipeline.start(0)
        assert not pipeline.may_read
