"""Administration of profiles and services over HTTP."""

from collections.abc import Mapping

from result import Err, Ok, Result

from carobwalk.admin._answers import ok_response
from carobwalk.admin._error_view import DescribedFailure, error_response
from carobwalk.admin._exchange import Exchange
from carobwalk.admin._failures import (
    Forbidden,
    MethodNotAllowed,
    NotReady,
    UnknownPath,
)
from carobwalk.admin._openapi import openapi_document
from carobwalk.admin._parts import AdministrationParts
from carobwalk.admin._route import Route, ServedRoute, served_routes
from carobwalk.http import HttpRequest, HttpResponse
from carobwalk.profiles import Operator

_DOCUMENT_PATH = '/v1/openapi.json'


class AdministrationApi:
    """Handler of the administration's requests.

    Args:
        parts: Parts of the process.
    """

    def __init__(self, parts: AdministrationParts) -> None:
        self._parts = parts

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Return the answer to a request of an operator."""
        if (request.method, request.path) == ('GET', _DOCUMENT_PATH):
            return ok_response(openapi_document())
        found = _find_route(request)
        if isinstance(found, Err):
            return error_response(found.err_value)
        served, path = found.ok_value
        if not self._parts.follower.has_joined:
            # Neither tokens nor their absence are known.
            return error_response(NotReady())
        known = await self._parts.authenticator.authenticate(request.headers)
        if isinstance(known, Err):
            return error_response(known.err_value)
        operator = known.ok_value
        missing = _missing_role(served.route, operator)
        if missing is not None:
            return error_response(Forbidden(missing))
        exchange = Exchange(request, path, operator.name, self._parts)
        return await served.handler(exchange)


def _missing_role(route: Route, operator: Operator) -> str | None:
    missing = sorted(set(route.roles) - operator.roles)
    return missing[0] if missing else None


def _find_route(
    request: HttpRequest,
) -> Result[tuple[ServedRoute, Mapping[str, str]], DescribedFailure]:
    is_known = False
    for served in served_routes:
        path = served.route.match(request.path)
        if path is None:
            continue
        if served.route.method == request.method:
            return Ok((served, path))
        is_known = True
    if is_known:
        return Err(MethodNotAllowed(request.method, request.path))
    return Err(UnknownPath(request.path))
