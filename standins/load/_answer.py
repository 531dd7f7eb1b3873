"""An answer as a caller reads it."""

from dataclasses import dataclass, field

import h11
import msgspec
import xxhash

from standins.backend import RunRecord, download_parts
from standins.load._task import LoadTask

BODY_LIMIT_BYTES = 65_536


@dataclass(slots=True)
class Answer:
    """An answer, in as far as it came.

    Args:
        status: HTTP status.
        headers: Header fields by name in lower case.
        start: First part of the body.
        size: Length of the body so far.
        is_whole: Whether the end came.
    """

    status: int
    headers: dict[str, str]
    start: bytearray = field(default_factory=bytearray)
    size: int = 0
    is_whole: bool = False
    digest: xxhash.xxh64 = field(default_factory=xxhash.xxh64)

    def feed(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self.digest.update(chunk)
        self.size += len(chunk)
        if len(self.start) < BODY_LIMIT_BYTES:
            self.start.extend(chunk)

    @property
    def error(self) -> str:
        """Kind of the failure that the body names; empty if there is none."""
        try:
            body = msgspec.json.decode(self.start)
        except msgspec.MsgspecError:
            return ''
        return str(body.get('error', '')) if isinstance(body, dict) else ''


def start_answer(event: h11.Response) -> Answer:
    """Return the answer that a head starts."""
    headers = {
        name.decode('latin-1'): text.decode('latin-1')
        for name, text in event.headers
    }
    return Answer(event.status_code, headers)


def is_astray(task: LoadTask, answer: Answer) -> bool:
    """Return whether a whole answer belongs to another request."""
    if '&size=' in task.query:
        size = int(task.query.partition('&size=')[-1])
        digest = xxhash.xxh64()
        for part in download_parts(task.key, task.mark, size):
            digest.update(part)
        return bool(digest.digest() != answer.digest.digest())
    try:
        run = msgspec.json.decode(answer.start, type=RunRecord)
    except msgspec.MsgspecError:
        return True
    if task.idempotency_key is not None:
        # A repeat is given the answer of the action's first request.
        return run.idempotency_key != task.idempotency_key
    return (run.mark, run.key) != (task.mark, task.key)
