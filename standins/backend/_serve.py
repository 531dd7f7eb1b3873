"""Connections of a backend server."""

from functools import partial
from http import HTTPStatus

import h11
import trio

from carobwalk.http import H11Stream, HttpRequest, HttpResponse
from standins.backend._control import answer_control, is_control
from standins.backend._request import BackendRequest, parse_request
from standins.backend._run import Run
from standins.backend._state import BackendState

CONTROL_BODY_BYTES = 4_194_304
LINGER_SECONDS = 1
LINGER_BYTES = 1_048_576


async def serve_backend(
    state: BackendState,
    listeners: list[trio.SocketListener],
) -> None:
    """Serve all connections until cancelled."""
    await trio.serve_listeners(partial(serve_connection, state), listeners)


async def serve_connection(
    state: BackendState,
    stream: trio.abc.Stream,
) -> None:
    """Serve the requests of one connection, one after another."""
    if state.connections >= state.settings.connections:
        await trio.aclose_forcefully(stream)
        return
    state.connections += 1
    connection = H11Stream(stream, h11.SERVER)
    try:
        await _serve_requests(state, connection)
    except (h11.ProtocolError, trio.BrokenResourceError):
        pass  # The caller disconnected; the run is logged.
    finally:
        state.connections -= 1
        await trio.aclose_forcefully(stream)


async def _serve_requests(state: BackendState, connection: H11Stream) -> None:
    event = await connection.receive()
    while isinstance(event, h11.Request):
        request = parse_request(event)
        if not await _respond(state, connection, request):
            return
        await _discard_body(connection)
        if not connection.is_reusable:
            return
        connection.protocol.start_next_cycle()
        event = await connection.receive()


async def _respond(
    state: BackendState,
    connection: H11Stream,
    request: BackendRequest,
) -> bool:
    if is_control(request.path):
        return await _answer_control(state, connection, request)
    return await Run(state, connection, request).execute()


async def _answer_control(
    state: BackendState,
    connection: H11Stream,
    request: BackendRequest,
) -> bool:
    body = await connection.read_body(CONTROL_BODY_BYTES)
    if body is None:
        response = HttpResponse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
    else:
        control_request = HttpRequest(request.method, request.path, body=body)
        response = answer_control(state, control_request)
    length = ('content-length', str(len(response.body)))
    headers = [length, *response.headers.items()]
    if response.status == HTTPStatus.NO_CONTENT:
        headers.remove(length)
    await connection.send(
        h11.Response(status_code=response.status, headers=headers),
        h11.Data(data=response.body),
        h11.EndOfMessage(),
    )
    return True


async def _discard_body(connection: H11Stream) -> None:
    """Read the rest of a refused body.

    Closing with unread data resets the connection, and the reset could
    overtake the response.
    """
    if connection.protocol.their_state is h11.SEND_BODY:
        with trio.move_on_after(LINGER_SECONDS):
            await connection.read_body(LINGER_BYTES)
