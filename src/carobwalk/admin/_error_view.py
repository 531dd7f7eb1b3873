"""Error responses."""

import re
from collections.abc import Mapping
from types import MappingProxyType
from typing import Protocol

from carobwalk import profiles
from carobwalk.admin import _failures as failures
from carobwalk.admin._responses import json_response, redact_secrets
from carobwalk.admin._state_views import ErrorView
from carobwalk.http import HttpResponse

_REFUSED = 'refused'
_CONFLICT = 'conflict'
_WORD_BOUNDARY = re.compile('(?<!^)(?=[A-Z])')

STATUS_BY_TYPE: Mapping[type, tuple[int, str]] = MappingProxyType(
    {
        failures.BadRequest: (400, _REFUSED),
        failures.Unauthenticated: (401, _REFUSED),
        failures.Forbidden: (403, _REFUSED),
        failures.UnknownPath: (404, _REFUSED),
        failures.MethodNotAllowed: (405, _REFUSED),
        failures.NotQuarantined: (404, _REFUSED),
        failures.RevisionRequired: (428, _REFUSED),
        failures.TooManyAttempts: (429, _REFUSED),
        failures.NotReady: (503, _REFUSED),
        profiles.NotFound: (404, _REFUSED),
        profiles.ChangeNotKept: (404, _REFUSED),
        profiles.AlreadyExists: (409, _CONFLICT),
        profiles.InUse: (409, _REFUSED),
        profiles.RevertsAnother: (409, _REFUSED),
        profiles.WriteIdTaken: (409, _REFUSED),
        profiles.StoreBehind: (409, _REFUSED),
        profiles.StaleRevision: (412, _CONFLICT),
        profiles.ConfigurationTooLarge: (413, _REFUSED),
        profiles.Invalid: (422, _REFUSED),
        profiles.StoreUnavailable: (503, _REFUSED),
        profiles.OutcomeUnknown: (504, 'unknown'),
    }
)


class DescribedFailure(Protocol):
    """A failure with a description and a corrective action."""

    @property
    def detail(self) -> str:
        """Description of the failure."""

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""


def error_response(failure: DescribedFailure) -> HttpResponse:
    """Return the error response for a failure."""
    status, outcome = STATUS_BY_TYPE[type(failure)]
    view = ErrorView(
        kind=failure_kind(type(failure)),
        outcome=outcome,
        detail=failure.detail,
        way_out=failure.way_out,
        current_revision=getattr(failure, 'current_revision', None),
        changes=tuple(map(redact_secrets, getattr(failure, 'changes', ()))),
        problems=getattr(failure, 'problems', ()),
        services=getattr(failure, 'services', ()),
        children=getattr(failure, 'children', ()),
        write_id=getattr(failure, 'write_id', None) or None,
    )
    return json_response(status, view)


def failure_kind(failure: type) -> str:
    """Return the kebab-case name of a failure type, used in responses."""
    return _WORD_BOUNDARY.sub('-', failure.__name__).lower()
