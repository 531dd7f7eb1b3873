"""Decisions on the requests that one connection of a caller carries."""

import enum
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import Final, Generic, Protocol, TypeVar

MAX_PIPELINED: Final = 16


class Stage(enum.Enum):
    """Stage of a request that has been read."""

    WAITING = 'waiting'
    RUNNING = 'running'
    ANSWERED = 'answered'


class PipelinedRequest(Protocol):
    """A request as far as the order of requests is concerned.

    Attributes:
        stage: Stage of the request, changed by the pipeline only.
    """

    stage: Stage

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run at the same time as others."""

    @property
    def is_last(self) -> bool:
        """Whether the connection closes after the response."""

    @property
    def missing_bytes(self) -> int:
        """Memory that the response is expected to need beyond what it has."""


RequestT = TypeVar('RequestT', bound=PipelinedRequest)


class Pipeline(Generic[RequestT]):
    """Orders the requests of one connection; holds no network state.

    Idempotent requests run at the same time. One that is not idempotent runs
    when the responses to all before it have been sent, and the requests after
    it wait for its response: a caller that sends it after a read relies on the
    order, and it must not run if the connection ends before.

    Args:
        is_stopping: Returns whether the process is shutting down.
        max_requests: Most requests at once, from their reading to the sending
            of their responses.
    """

    def __init__(
        self,
        is_stopping: Callable[[], bool],
        max_requests: int = MAX_PIPELINED,
    ) -> None:
        self._is_stopping = is_stopping
        self._max_requests = max_requests
        self._requests: deque[RequestT] = deque()
        self._is_ended = False

    @property
    def size(self) -> int:
        """Number of requests whose responses have not been sent."""
        return len(self._requests)

    @property
    def may_read(self) -> bool:
        """Whether a further request may be read.

        Requests that have not been read when a stop begins are left to other
        processes.
        """
        if self._is_ended:
            return False
        if not self._requests:
            return True
        return not (
            self.size >= self._max_requests
            or self._requests[-1].is_last
            or self._is_stopping()
        )

    def add(self, request: RequestT) -> None:
        """Append a request that has been read.

        Args:
            request: The request; one that is refused is already answered.
        """
        self._requests.append(request)

    def start(self, free_bytes: int) -> list[RequestT]:
        """Return the requests to run now; they count as running.

        The first request runs whatever the memory is, as it would on a
        connection of its own.

        Args:
            free_bytes: Memory for responses that is left to the connection.
        """
        if self._is_ended:
            return []
        # During a stop, not even a request that needs no memory may join.
        left_bytes = -1 if self._is_stopping() else free_bytes
        started: list[RequestT] = []
        for request in _startable(self._requests, left_bytes):
            request.stage = Stage.RUNNING
            started.append(request)
        return started

    def record_response(self, request: RequestT) -> None:
        """Record that the response to a request is complete.

        Args:
            request: A running request.
        """
        request.stage = Stage.ANSWERED

    def next_response(self) -> RequestT | None:
        """Return the request whose response is to be sent now, if any."""
        first = self._requests[0] if self._requests else None
        return first if first and first.stage is Stage.ANSWERED else None

    def closes_after(self, request: RequestT) -> bool:
        """Return whether the connection closes after a response.

        During a stop, those behind it that have begun are still answered.

        Args:
            request: The first request.
        """
        if request.is_last:
            return True
        return self._is_stopping() and not any(
            behind.stage is not Stage.WAITING
            for behind in self._requests
            if behind is not request
        )

    def remove_first(self) -> None:
        """Remove the first request; its response has been sent."""
        self._requests.popleft()

    def end(self) -> tuple[list[RequestT], list[RequestT]]:
        """Start no further request; the connection ends.

        Returns:
            The requests that waited, which are dropped, and those that run,
            which are to be cancelled where that is safe.
        """
        self._is_ended = True
        waiting: list[RequestT] = []
        running: list[RequestT] = []
        for request in self._requests:
            if request.stage is Stage.WAITING:
                waiting.append(request)
            elif request.stage is Stage.RUNNING:
                running.append(request)
        # Behind those that wait is at most a refusal, which isn't sent either.
        while waiting and self._requests[-1] is not waiting[0]:
            self._requests.pop()
        if waiting:
            self._requests.pop()
        return waiting, running


def _startable(
    requests: Iterable[RequestT], free_bytes: int
) -> Iterator[RequestT]:
    """Iterate over the requests to start; each is started before the next."""
    is_first = True
    for request in requests:
        if request.stage is Stage.WAITING:
            if not (is_first or _fits(request, free_bytes)):
                return
            yield request
        if _is_exclusive(request):
            return
        is_first = False
        free_bytes -= _reserved_bytes(request)


def _fits(request: PipelinedRequest, free_bytes: int) -> bool:
    """Return whether a request may run while others are unanswered."""
    return request.is_idempotent and request.missing_bytes <= free_bytes


def _is_exclusive(request: PipelinedRequest) -> bool:
    """Return whether the requests behind a begun one have to wait."""
    return request.stage is Stage.RUNNING and not request.is_idempotent


def _reserved_bytes(request: PipelinedRequest) -> int:
    """Return the memory that a begun request will take in addition."""
    return request.missing_bytes if request.stage is Stage.RUNNING else 0
