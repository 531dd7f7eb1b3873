"""Filling of frames with one field or none, and of control messages."""

from typing import Any

from carobwalk.peer import frames
from carobwalk.peer.codec._fillers import fills


@fills(frames.Hello)
def _fill_hello(message: Any, body: frames.Hello) -> None:
    message.hello = body.process


@fills(frames.Ask)
def _fill_ask(message: Any, body: frames.Ask) -> None:
    ask = message.init('ask')
    ask.topic = body.topic
    ask.payload = body.payload


@fills(frames.Answer)
def _fill_answer(message: Any, body: frames.Answer) -> None:
    message.answer = body.payload


@fills(frames.AskFailed)
def _fill_ask_failed(message: Any, body: frames.AskFailed) -> None:
    message.askFailed = body.detail


@fills(frames.Chunk)
def _fill_chunk(message: Any, body: frames.Chunk) -> None:
    message.chunk = body.content


@fills(frames.BodyEnd)
def _fill_body_end(message: Any, body: frames.BodyEnd) -> None:
    message.bodyEnd = None


@fills(frames.BodyBroken)
def _fill_body_broken(message: Any, body: frames.BodyBroken) -> None:
    message.bodyBroken = None


@fills(frames.Credit)
def _fill_credit(message: Any, body: frames.Credit) -> None:
    message.credit = body.size


@fills(frames.Cancel)
def _fill_cancel(message: Any, body: frames.Cancel) -> None:
    message.cancel = None
