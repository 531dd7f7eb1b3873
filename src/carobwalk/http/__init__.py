"""HTTP/1.1 by h11 for small messages: administration, platform, metrics."""

from carobwalk.http._client import HttpClient
from carobwalk.http._connect import connect_probed, reset_on_close
from carobwalk.http._draining_server import (
    DrainableConnection,
    DrainingServer,
)
from carobwalk.http._failures import (
    ConnectFailed,
    HttpFailure,
    NoAnswer,
)
from carobwalk.http._h11_stream import H11Stream
from carobwalk.http._handler import HttpHandler
from carobwalk.http._messages import HttpRequest, HttpResponse
from carobwalk.http._sender import HttpSender
from carobwalk.http._server import serve_http, serve_http_stream

__all__ = (
    'ConnectFailed',
    'DrainableConnection',
    'DrainingServer',
    'H11Stream',
    'HttpClient',
    'HttpFailure',
    'HttpHandler',
    'HttpRequest',
    'HttpResponse',
    'HttpSender',
    'NoAnswer',
    'connect_probed',
    'reset_on_close',
    'serve_http',
    'serve_http_stream',
)
