"""HTTP server for requests and responses that fit in memory."""

from collections.abc import Mapping
from functools import partial
from http import HTTPStatus
from typing import Final
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import trio

from carobwalk.events import EventLog, NullEventLog
from carobwalk.http._crash_logging_handler import CrashLoggingHandler
from carobwalk.http._h11_stream import H11Stream
from carobwalk.http._handler import HttpHandler
from carobwalk.http._messages import HttpRequest, HttpResponse

_MAX_BODY_BYTES: Final = 2_097_152
# Covers the wait for a request, its handling and sending the response.
_EXCHANGE_TIMEOUT_SECONDS: Final = 120
_TOO_LARGE: Final = HttpResponse(
    status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    body=b'body too large\n',
)
_INVALID_TARGET: Final = HttpResponse(
    status=HTTPStatus.BAD_REQUEST,
    body=b'invalid target\n',
)


async def serve_http(
    handler: HttpHandler,
    listeners: list[trio.SocketListener],
    events: EventLog | None = None,
) -> None:
    """Accept connections and serve their requests until cancelled.

    Args:
        handler: Handles each request; its exceptions result in status 500.
        listeners: Sockets to accept connections from.
        events: Log of the handler's exceptions; by default, they are not
            logged.
    """
    logging_handler = CrashLoggingHandler(handler, events or NullEventLog())
    await trio.serve_listeners(
        partial(serve_http_stream, logging_handler),
        listeners,
    )


async def serve_http_stream(
    handler: HttpHandler,
    stream: trio.abc.Stream,
) -> None:
    """Serve the requests of one connection sequentially, then close it.

    Args:
        handler: Handles each request.
        stream: Connected stream.
    """
    connection = H11Stream(stream, h11.SERVER)
    try:
        await _serve_requests(handler, connection)
    except (h11.ProtocolError, trio.BrokenResourceError):
        pass  # The client disconnected or violated the protocol.
    finally:
        with trio.move_on_after(1) as cleanup:
            cleanup.shield = True
            await stream.aclose()


async def _serve_requests(
    handler: HttpHandler,
    connection: H11Stream,
) -> None:
    while True:
        with trio.move_on_after(_EXCHANGE_TIMEOUT_SECONDS):
            event = await connection.receive()
            if not isinstance(event, h11.Request):
                return
            response = await _handle(handler, connection, event)
            await _send_response(connection, response)
            if not connection.is_reusable:
                return
            connection.protocol.start_next_cycle()
            continue
        return


async def _handle(
    handler: HttpHandler,
    connection: H11Stream,
    event: h11.Request,
) -> HttpResponse:
    body = await connection.read_body(_MAX_BODY_BYTES)
    if body is None:
        return _TOO_LARGE
    try:
        request = parse_request(event, body)
    except ValueError:
        return _INVALID_TARGET
    return await handler(request)


def parse_request(event: h11.Request, body: bytes) -> HttpRequest:
    """Return the request for a parsed head and a body.

    Args:
        event: Request head as parsed by h11.
        body: Complete body.

    Raises:
        ValueError: If the target is no URL.
    """
    parts = urlsplit(event.target.decode('latin-1'))
    return HttpRequest(
        method=event.method.decode('ascii'),
        path=unquote(parts.path),
        query=dict(parse_qsl(parts.query)),
        headers=parse_headers(event.headers),
        body=body,
    )


def parse_headers(headers: h11._headers.Headers) -> Mapping[str, str]:
    """Return header fields by name in lower case."""
    return {
        name.decode('latin-1'): text.decode('latin-1') for name, text in headers
    }


async def _send_response(
    connection: H11Stream,
    response: HttpResponse,
) -> None:
    headers = [
        *response.headers.items(),
        ('content-length', str(len(response.body))),
    ]
    await connection.send(
        h11.Response(status_code=response.status, headers=headers),
        h11.Data(data=response.body),
        h11.EndOfMessage(),
    )
