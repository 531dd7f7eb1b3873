"""Routes that issue and revoke tokens of operators."""

import trio
from result import Err, Ok

from carobwalk.admin._bodies import Deletion, NewToken
from carobwalk.admin._error_view import error_response
from carobwalk.admin._exchange import Exchange
from carobwalk.admin._responses import ok_response
from carobwalk.admin._route import DRY_RUN, Route, register_route
from carobwalk.admin._state_views import TokenView
from carobwalk.admin._tokens import hash_secret, issue_token
from carobwalk.admin._views import PreviewView, WriteView
from carobwalk.admin._writes import Statement, handle_deletion, handle_write
from carobwalk.http import HttpResponse
from carobwalk.profiles import Action, Role, Subject, SubjectKind

_ALL_ROLES = tuple(Role)
_STATUS_OK = 200


@register_route(
    Route(
        method='POST',
        path='/v1/tokens',
        roles=_ALL_ROLES,
        body=NewToken,
        answers=(TokenView, PreviewView),
        query=(DRY_RUN,),
        writes=True,
    ),
)
async def create_token(exchange: Exchange) -> HttpResponse:
    """Issue a token to an operator; an earlier one ends."""
    decoded = exchange.body(NewToken)
    if isinstance(decoded, Err):
        return error_response(decoded.err_value)
    body = decoded.ok_value
    token = issue_token(body.operator)
    secret_hash = await trio.to_thread.run_sync(hash_secret, token)
    statement = Statement(
        subject=Subject(SubjectKind.OPERATOR, body.operator),
        action=Action.PUT,
        fields={
            'secret_hash': secret_hash,
            'roles': sorted(set(body.roles)),
        },
        reason=body.reason,
        reverting=body.reverting,
    )
    response = await handle_write(exchange, Ok(statement))
    if exchange.is_dry_run or response.status != _STATUS_OK:
        return response
    revision = int(response.headers['etag'].strip('"'))
    return ok_response(
        TokenView(body.operator, str(token), revision),
        revision,
    )


@register_route(
    Route(
        method='DELETE',
        path='/v1/tokens/{operator}',
        roles=_ALL_ROLES,
        body=Deletion,
        answers=(WriteView, PreviewView),
        query=(DRY_RUN,),
        writes=True,
    ),
)
async def delete_token(exchange: Exchange) -> HttpResponse:
    """End the token of an operator."""
    subject = Subject(SubjectKind.OPERATOR, exchange.path['operator'])
    return await handle_deletion(exchange, subject)
