"""Answers to ``GET /explain``; imported with the first question."""

from collections.abc import Callable
from functools import partial
from http import HTTPMethod, HTTPStatus
from types import MappingProxyType
from typing import Final

import msgspec

from carobwalk.app._explain_handler import ExplainSources
from carobwalk.app._gateway_core import GatewayCore
from carobwalk.gateway.explain import (
    Explainer,
    ExplainParts,
    Question,
    ServerViewParts,
)
from carobwalk.http import HttpRequest, HttpResponse

_JSON: Final = MappingProxyType({'content-type': 'application/json'})


def build_explain_call(
    core: GatewayCore,
    sources: ExplainSources,
    records_age: Callable[[], float],
) -> Callable[[HttpRequest], HttpResponse]:
    """Return the function that answers questions.

    Args:
        core: Shared components of the process.
        sources: Components whose state is explained.
        records_age: Returns the seconds since the records were current.
    """
    explainer = Explainer(
        ExplainParts(
            routes=core.routes,
            records_age=records_age,
            owners=sources.owners,
            misdirected=sources.keyed.lookup.misdirected,
            crash_tracker=sources.crash_tracker,
            servers=ServerViewParts(
                directory=core.directory,
                candidates=sources.candidates,
                regions=sources.regions,
                loads=sources.loads,
                cost=sources.cost,
                sampled=sources.sampled,
                has_connection=sources.pool.has_idle,
            ),
        )
    )

    return partial(_answer, explainer)


def _answer(explainer: Explainer, request: HttpRequest) -> HttpResponse:
    if request.method != HTTPMethod.GET:
        return HttpResponse(
            HTTPStatus.METHOD_NOT_ALLOWED, {'allow': HTTPMethod.GET}
        )
    try:
        question = msgspec.convert(dict(request.query), Question, strict=False)
    except msgspec.ValidationError as error:
        body = msgspec.json.encode({'detail': str(error)})
        return HttpResponse(HTTPStatus.BAD_REQUEST, _JSON, body)
    body = msgspec.json.encode(explainer.explain(question))
    return HttpResponse(HTTPStatus.OK, _JSON, body)
