"""Reading of frames with one field or none, and of control messages."""

from typing import Any

from carobwalk.peer import frames
from carobwalk.peer._topic import Topic
from carobwalk.peer.codec._readers import reads


@reads('hello')
def _read_hello(message: Any) -> frames.Hello:
    return frames.Hello(message)


@reads('ask')
def _read_ask(message: Any) -> frames.Ask:
    return frames.Ask(Topic(message.topic), bytes(message.payload))


@reads('answer')
def _read_answer(message: Any) -> frames.Answer:
    return frames.Answer(bytes(message))


@reads('askFailed')
def _read_ask_failed(message: Any) -> frames.AskFailed:
    return frames.AskFailed(message)


@reads('chunk')
def _read_chunk(message: Any) -> frames.Chunk:
    return frames.Chunk(bytes(message))


@reads('bodyEnd')
def _read_body_end(message: Any) -> frames.BodyEnd:
    return frames.BodyEnd()


@reads('bodyBroken')
def _read_body_broken(message: Any) -> frames.BodyBroken:
    return frames.BodyBroken()


@reads('credit')
def _read_credit(message: Any) -> frames.Credit:
    return frames.Credit(message)


@reads('cancel')
def _read_cancel(message: Any) -> frames.Cancel:
    return frames.Cancel()
