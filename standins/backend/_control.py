"""Control and report endpoints of a backend server."""

from http import HTTPStatus
from types import MappingProxyType

import msgspec

from carobwalk.http import HttpRequest, HttpResponse
from carobwalk.ownership import (
    CONTROL_PATHS,
    FenceOrder,
    GrantOrder,
    ReleaseOrder,
)
from standins.backend._state import BackendState

_JSON = MappingProxyType({'content-type': 'application/json'})
_ORDERS_BY_PATH = MappingProxyType(
    {
        CONTROL_PATHS[order]: order
        for order in (GrantOrder, FenceOrder, ReleaseOrder)
    },
)
_REPORT_PATHS = frozenset(('/health', '/load', '/_records'))


def is_control(path: str) -> bool:
    """Return whether a path is a control or report endpoint.

    These are answered without a slot.
    """
    return path in _REPORT_PATHS or path.startswith('/_control/')


def answer_control(state: BackendState, request: HttpRequest) -> HttpResponse:
    """Return the response to an ownership order, a drain or a report."""
    order_type = _ORDERS_BY_PATH.get(request.path)
    if order_type is not None:
        return _answer_order(state, request, order_type)
    match request.path:
        case '/_control/drain':
            state.slots.draining = True
            state.grants.leaving = True
            state.slots.publish()
        case '/_control/undrain':
            state.slots.draining = False
            state.grants.leaving = False
            state.slots.publish()
        case _:
            return _answer_report(state, request.path)
    return HttpResponse(HTTPStatus.NO_CONTENT)


def _answer_order(
    state: BackendState,
    request: HttpRequest,
    order_type: type[GrantOrder | FenceOrder | ReleaseOrder],
) -> HttpResponse:
    try:
        order = msgspec.json.decode(request.body, type=order_type)
    except msgspec.MsgspecError as error:
        return HttpResponse(HTTPStatus.BAD_REQUEST, body=str(error).encode())
    report = state.grants.handle(order, state.clock.now())
    return HttpResponse(HTTPStatus.OK, _JSON, msgspec.json.encode(report))


def _answer_report(state: BackendState, path: str) -> HttpResponse:
    if path == '/_records':
        return HttpResponse(HTTPStatus.OK, _JSON, state.log.to_json_lines())
    if path not in _REPORT_PATHS:
        return HttpResponse(HTTPStatus.NOT_FOUND)
    report = state.load_reporter.current()
    healthy = report.healthy or path == '/load'
    status = HTTPStatus.OK if healthy else HTTPStatus.SERVICE_UNAVAILABLE
    return HttpResponse(status, _JSON, msgspec.json.encode(report))
