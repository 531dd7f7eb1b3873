"""Sending of a request to a peer and relaying of its response."""

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


async def relay_request(
    exchange: Exchange,
    call: Call,
    placement: Placement,
    sink: ReplySink,
) -> Result[Completion, Failure]:
    """Send a request to the peer and relay its response.

    Args:
        exchange: New exchange for the request.
        call: Request to send.
        placement: Server and dispatcher that this entry chose.
        sink: Receives the response.

    Returns:
        The completion or the peer's failure. If the connection was lost
        first, the kind is ``peer-lost`` and the outcome is unknown.
    """
    # From here on only the peer can tell whether the request was sent.
    call.progress.record(is_sent=True)
    try:
        await exchange.send(OpenRequest(call.head, placement))
    except PeerLostError as error:
        return Err(_peer_lost(error))
    return await _exchange_bodies(exchange, call, sink)


async def _exchange_bodies(
    exchange: Exchange,
    call: Call,
    sink: ReplySink,
) -> Result[Completion, Failure]:
    if call.head.body_length == 0:
        return await _read_reply(exchange, sink)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_body, exchange, call)
        result = await _read_reply(exchange, sink)
        nursery.cancel_scope.cancel()
    return result


async def _send_body(exchange: Exchange, call: Call) -> None:
    is_broken = False
    try:
        while chunk := await call.body.receive():
            await exchange.send_chunk(chunk)
    except BodyError:
        is_broken = True
    except PeerLostError:
        return  # The task that reads the reply reports the loss.
    await _send_body_end(exchange, is_broken=is_broken)


async def _send_body_end(exchange: Exchange, *, is_broken: bool) -> None:
    try:
        await exchange.send(BodyBroken() if is_broken else BodyEnd())
    except PeerLostError:
        return  # The task that reads the reply reports the loss.


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
                await exchange.return_credit(len(content))
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
