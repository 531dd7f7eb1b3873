"""A response as received by a caller."""

from dataclasses import dataclass, field

import h11
import msgspec
import xxhash

from standins.backend import RunRecord, download_parts
from standins.load._task import LoadTask

BODY_LIMIT_BYTES = 65_536


@dataclass(slots=True)
class Answer:
    """A response, as far as it has been received.

    Args:
        status: HTTP status.
        headers: Header fields by name in lower case.
        start: Start of the body.
        size: Length of the body so far, in bytes.
        is_whole: Whether the response was received completely.
        digest: Digest of the body so far.
    """

    status: int
    headers: dict[str, str]
    start: bytearray = field(default_factory=bytearray)
    size: int = 0
    is_whole: bool = False
    digest: xxhash.xxh64 = field(default_factory=xxhash.xxh64)

    def feed(self, chunk: bytes) -> None:
        """Add a chunk of the body."""
        self.digest.update(chunk)
        self.size += len(chunk)
        if len(self.start) < BODY_LIMIT_BYTES:
            self.start.extend(chunk)

    @property
    def error(self) -> str:
        """Kind of the failure in a JSON body; empty if there is none."""
        try:
            body = msgspec.json.decode(self.start)
        except msgspec.MsgspecError:
            return ''
        return str(body.get('error', '')) if isinstance(body, dict) else ''


def parse_head(event: h11.Response) -> Answer:
    """Return a response whose head was received."""
    headers = {
        name.decode('latin-1'): text.decode('latin-1')
        for name, text in event.headers
    }
    return Answer(event.status_code, headers)


def is_astray(task: LoadTask, answer: Answer) -> bool:
    """Return whether a complete response belongs to another request."""
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
        # A retry gets the stored response of the action's first request.
        return run.idempotency_key != task.idempotency_key
    return (run.mark, run.key) != (task.mark, task.key)
