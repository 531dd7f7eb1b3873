"""JSON responses."""

from dataclasses import replace
from http import HTTPStatus

import msgspec

from carobwalk.http import HttpResponse
from carobwalk.profiles import Change, FieldChange, SubjectKind

_SECRET_FIELD = 'secret_hash'
_HIDDEN = '(hidden)'


def json_response(
    status: int,
    view: object,
    revision: int | None = None,
) -> HttpResponse:
    """Return a JSON response.

    Args:
        status: HTTP status code.
        view: Dataclass instance that is serialised as the body.
        revision: Revision sent as the ETag; ``None`` sends no ETag.
    """
    headers = {'content-type': 'application/json'}
    if revision is not None:
        headers['etag'] = f'"{revision}"'
    return HttpResponse(
        status,
        headers,
        msgspec.json.encode(view),
    )


def ok_response(view: object, revision: int | None = None) -> HttpResponse:
    """Return a JSON response with status 200; see ``json_response``."""
    return json_response(HTTPStatus.OK, view, revision)


def redact_secrets(change: Change) -> Change:
    """Return a history entry with token hashes replaced by a placeholder."""
    if change.subject.kind is not SubjectKind.OPERATOR:
        return change
    fields = tuple(
        FieldChange(entry.field, _HIDDEN, _HIDDEN)
        if entry.field == _SECRET_FIELD
        else entry
        for entry in change.fields
    )
    return replace(change, fields=fields)
