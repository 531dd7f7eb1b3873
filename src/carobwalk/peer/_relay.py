"""The two directions of a request on a dialled connection."""

import trio
from result import Err, Ok, Result

from carobwalk.model import (
    BodyError,
    Call,
    CallerGoneError,
    Completion,
    Failure,
    FailureKind,
    Outcome,
    Placement,
    ReplySink,
)
from carobwalk.peer._exceptions import PeerLostError
from carobwalk.peer._exchange import Exchange
from carobwalk.peer.frames import (
    BodyBroken,
    BodyEnd,
    Chunk,
    Completed,
    Failed,
    OpenRequest,
    ReplyHead,
)


async def run_request(
    exchange: Exchange,
    call: Call,
    placement: Placement,
    sink: ReplySink,
) -> Result[Completion, Failure]:
    """Send a request and relay its answer.

    Returns:
        The completion or the peer's failure. The kind is ``peer-lost`` where
        the connection ended first, so that the outcome is open.
    """
    # Only the peer knows how far the request gets from here.
    call.progress.record(is_sent=True)
    try:
        await exchange.send(OpenRequest(call.head, placement))
    except PeerLostError as error:
        return Err(_peer_lost(error))
    return await _converse(exchange, call, sink)


async def _converse(
    exchange: Exchange,
    call: Call,
    sink: ReplySink,
) -> Result[Completion, Failure]:
    if call.head.body_length == 0:
        return await _read_reply(exchange, sink)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_pump_body, exchange, call)
        ended = await _read_reply(exchange, sink)
        nursery.cancel_scope.cancel()
    return ended


async def _pump_body(exchange: Exchange, call: Call) -> None:
    is_broken = False
    try:
        while chunk := await call.body.receive():
            await exchange.send_chunk(chunk)
    except BodyError:
        is_broken = True
    except PeerLostError:
        return  # The reader of the reply finds the loss too.
    await _send_end(exchange, is_broken=is_broken)


async def _send_end(exchange: Exchange, *, is_broken: bool) -> None:
    try:
        await exchange.send(BodyBroken() if is_broken else BodyEnd())
    except PeerLostError:
        return  # The reader of the reply finds the loss too.


async def _read_reply(
    exchange: Exchange,
    sink: ReplySink,
) -> Result[Completion, Failure]:
    try:
        return await _relay_frames(exchange, sink)
    except PeerLostError as error:
        return Err(_peer_lost(error))
    except CallerGoneError as error:
        return Err(_caller_gone(error))


async def _relay_frames(
    exchange: Exchange,
    sink: ReplySink,
) -> Result[Completion, Failure]:
    while True:
        frame = await exchange.receive()
        match frame:
            case Chunk(content):
                await sink.write(content)
                await exchange.give_credit(len(content))
            case ReplyHead(status, headers):
                await sink.start(status, headers)
            case Completed(completion):
                return Ok(completion)
            case Failed(failure):
                return Err(failure)
            case _:
                raise PeerLostError(f'unexpected {type(frame).__name__}')


def _peer_lost(error: PeerLostError) -> Failure:
    return Failure(FailureKind.PEER_LOST, Outcome.UNKNOWN, str(error))


def _caller_gone(error: CallerGoneError) -> Failure:
    return Failure(FailureKind.CALLER_GONE, Outcome.UNKNOWN, str(error))
