"""Explanation of the profile and placement of a key."""

from carobwalk.admin._error_view import error_response
from carobwalk.admin._exchange import Exchange
from carobwalk.admin._explanation import OwnershipExplanation
from carobwalk.admin._failures import BadRequest
from carobwalk.admin._responses import ok_response
from carobwalk.admin._route import QueryParameter, Route, register_route
from carobwalk.admin._state_views import ExplanationView
from carobwalk.http import HttpResponse
from carobwalk.model import Key, ServiceName
from carobwalk.profiles import (
    NotFound,
    Role,
    Subject,
    SubjectKind,
    plain_fields,
)


@register_route(
    Route(
        method='GET',
        path='/v1/explain',
        roles=(Role.READ,),
        answers=(ExplanationView,),
        query=(
            QueryParameter(name='service', meaning='name of the service'),
            QueryParameter(name='key', meaning='the key'),
        ),
    ),
)
async def explain(exchange: Exchange) -> HttpResponse:
    """Explain by which profile, owner and dispatcher a key is served."""
    query = exchange.request.query
    if not {'service', 'key'} <= query.keys():
        return error_response(BadRequest('service and key are needed'))
    service = ServiceName(query['service'])
    key = Key(query['key'])
    catalogue = exchange.parts.follower.current()
    profile = catalogue.profile_of(service)
    if profile is None:
        subject = Subject(SubjectKind.SERVICE, service)
        return error_response(NotFound(subject))
    ownership = OwnershipExplanation(
        why=(f'profile {profile.name} gives keys no owner',),
    )
    if profile.keyed:
        ownership = exchange.parts.explain_ownership(service, key)
    view = ExplanationView(
        service=service,
        key=key,
        revision=catalogue.revision,
        profile=profile.name,
        fields=plain_fields(profile),
        ownership=ownership,
    )
    return ok_response(view)
