"""HTTP/1.1 client and server for messages that are held in memory."""

from carobwalk.http._answer_memory import AnswerMemory, AnswerShare
from carobwalk.http._answer_reader import (
    BODILESS_STATUSES,
    AnswerReader,
    declared_length,
    is_delimited,
)
from carobwalk.http._client import HttpClient
from carobwalk.http._connect import connect_with_keepalive, reset_on_close
from carobwalk.http._draining_server import (
    DrainableConnection,
    DrainingServer,
)
from carobwalk.http._error_detail import error_detail
from carobwalk.http._failures import (
    AnswerTooLong,
    ConnectFailed,
    HttpFailure,
    JoinedHeads,
    NoAnswer,
)
from carobwalk.http._h11_patterns import install_patterns
from carobwalk.http._h11_stream import H11Stream
from carobwalk.http._handler import HttpHandler
from carobwalk.http._messages import HttpRequest, HttpResponse
from carobwalk.http._natural_number import parse_natural_number
from carobwalk.http._sender import HttpSender
from carobwalk.http._server import serve_http, serve_http_stream
from carobwalk.http._shutdown import Shutdown

__all__ = (
    'BODILESS_STATUSES',
    'AnswerMemory',
    'AnswerReader',
    'AnswerShare',
    'AnswerTooLong',
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
    'JoinedHeads',
    'NoAnswer',
    'Shutdown',
    'connect_with_keepalive',
    'declared_length',
    'error_detail',
    'is_delimited',
    'parse_natural_number',
    'reset_on_close',
    'serve_http',
    'serve_http_stream',
)

# All parsing by h11 is done through this package.
install_patterns()
