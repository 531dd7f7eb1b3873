"""Request dispatch of the administration API."""

from collections.abc import Mapping

from result import Err, Ok, Result

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
from carobwalk.admin._responses import ok_response
from carobwalk.admin._route import Route, ServedRoute, registered_routes
from carobwalk.http import HttpRequest, HttpResponse
from carobwalk.profiles import Operator

_DOCUMENT_PATH = '/v1/openapi.json'


class AdministrationApi:
    """Authenticates, authorises and dispatches administration requests.

    Args:
        parts: Dependencies and settings.
    """

    def __init__(self, parts: AdministrationParts) -> None:
        self._parts = parts

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Handle a request of an operator and return the response."""
        if (request.method, request.path) == ('GET', _DOCUMENT_PATH):
            return ok_response(openapi_document())
        found = _find_route(request)
        if isinstance(found, Err):
            return error_response(found.err_value)
        served, path = found.ok_value
        if not self._parts.follower.has_joined:
            # Before joining, the process knows no operators, so it can't decide
            # whether a token is valid.
            return error_response(NotReady())
        authenticated = await self._parts.authenticator.authenticate(
            request.headers
        )
        if isinstance(authenticated, Err):
            return error_response(authenticated.err_value)
        operator = authenticated.ok_value
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
    is_path_known = False
    for served in registered_routes:
        path = served.route.match(request.path)
        if path is None:
            continue
        if served.route.method == request.method:
            return Ok((served, path))
        is_path_known = True
    if is_path_known:
        return Err(MethodNotAllowed(request.method, request.path))
    return Err(UnknownPath(request.path))
