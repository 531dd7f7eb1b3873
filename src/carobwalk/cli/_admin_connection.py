"""HTTP calls to the administration of an entry process."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

import trio
from result import Result

from carobwalk.http import HttpClient, HttpFailure, HttpRequest, HttpResponse
from carobwalk.model import Address

_TIMEOUT_SECONDS: Final = 10


@dataclass(frozen=True, slots=True, kw_only=True)
class AdminCall:
    """One call to the administration API.

    Args:
        method: HTTP method.
        path: Path of the resource.
        body: JSON body of the request, if any.
        base: Revision that a write is based on; sent as ``If-Match``.
        query: Query parameters.
        write_id: Identifier of a write; sent as ``Idempotency-Key``.
    """

    method: str
    path: str
    body: Mapping[str, Any] | None = None
    base: int | None = None
    query: Mapping[str, str] = field(default_factory=dict)
    write_id: str | None = None

    @property
    def is_write(self) -> bool:
        """Whether the call may change the configuration."""
        return self.method != 'GET' and 'dry_run' not in self.query


@dataclass(frozen=True, slots=True)
class AdminConnection:
    """Address of an administration and the token of the operator."""

    address: Address
    token: str

    def send(self, call: AdminCall) -> Result[HttpResponse, HttpFailure]:
        """Send a call and wait for the response."""
        headers = {'authorization': f'Bearer {self.token}'}
        if call.base is not None:
            headers['if-match'] = f'"{call.base}"'
        if call.write_id is not None:
            headers['idempotency-key'] = call.write_id
        content = json.dumps(call.body) if call.body else ''
        request = HttpRequest(
            call.method,
            call.path,
            call.query,
            headers,
            content.encode(),
        )
        return trio.run(
            HttpClient().send,
            self.address,
            request,
            _TIMEOUT_SECONDS,
        )
