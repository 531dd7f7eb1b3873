"""HTTP/1.1 by h11 for small messages: administration, platform, metrics."""

from carobwalk.http._failures import (
    ConnectFailed,
    HttpFailure,
    NoAnswer,
)
from carobwalk.http._handler import HttpHandler
from carobwalk.http._messages import HttpRequest, HttpResponse
from carobwalk.http._sender import HttpSender

__all__ = (
    'ConnectFailed',
    'HttpFailure',
    'HttpHandler',
    'HttpRequest',
    'HttpResponse',
    'HttpSender',
    'NoAnswer',
)
