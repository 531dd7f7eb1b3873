"""Fake of a backend server that follows a script."""

from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf

import trio
from result import Err, Ok, Result

from carobwalk.dispatch import (
    CallerLost,
    NotAuthorised,
    NotConnected,
    RefusalReason,
    Refused,
    Unanswered,
    UpstreamFailure,
    UpstreamRequest,
)
from carobwalk.model import (
    BodyError,
    BodySource,
    Completion,
    ReplySink,
    ServerId,
)


class Step(Enum):
    """Behaviour of a scripted server for one request."""

    ANSWER = auto()
    CRASH = auto()
    SHED = auto()
    REFUSE_CONNECTION = auto()
    FREEZE = auto()


async def _read_all(body: BodySource) -> int:
    size = 0
    while chunk := await body.receive():
        size += len(chunk)
    return size


@dataclass
class ScriptedUpstream:
    """A server that follows a script, one step per request.

    Once the script is used up, it responds to every request.
    """

    steps: list[Step] = field(default_factory=list)
    seconds: float = 0.1
    runs: list[str] = field(default_factory=list)
    running: int = 0
    max_running: int = 0

    async def exchange(
        self,
        request: UpstreamRequest,
        sink: ReplySink,
    ) -> Result[Completion, UpstreamFailure]:
        """Perform the next step of the script."""
        step = self.steps.pop(0) if self.steps else Step.ANSWER
        if step is Step.REFUSE_CONNECTION:
            return Err(NotConnected('scripted'))
        token = request.gate.open()
        if isinstance(token, Err):
            return Err(NotAuthorised(token.err_value.detail))
        if step is Step.SHED:
            return Err(Refused(RefusalReason.SHED))
        try:
            await _read_all(request.body)
        except BodyError as error:
            return Err(CallerLost(str(error)))
        self.runs.append(request.head.request_id)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            await trio.sleep(inf if step is Step.FREEZE else self.seconds)
        finally:
            self.running -= 1
        if step is Step.CRASH:
            return Err(Unanswered('scripted'))
        number = len(self.runs)
        await sink.start(200, ())
        await sink.write(b'answer %d' % number)
        return Ok(Completion(200, ServerId('server-1'), 0, 8))

    async def aclose(self) -> None:
        """Do nothing."""
