"""Context of one request to the administration API."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeVar

import msgspec
import trio
from result import Err, Ok, Result

from carobwalk.admin._failures import BadRequest, RevisionRequired
from carobwalk.admin._parts import AdministrationParts
from carobwalk.admin._views import Source
from carobwalk.http import HttpRequest
from carobwalk.model import OperatorName
from carobwalk.profiles import Configuration

Body = TypeVar('Body')
_TRUE = 'true'
_MAX_WRITE_ID_LENGTH = 128


@dataclass(frozen=True, slots=True)
class Reading:
    """A configuration and the source that it was read from.

    Args:
        configuration: The configuration.
        source: Whether it is from the store or the locally active one.
    """

    configuration: Configuration
    source: Source


@dataclass(frozen=True, slots=True)
class Exchange:
    """An authenticated and authorised request.

    Args:
        request: HTTP request.
        path: Values of the path parameters by name.
        operator: Authenticated operator.
        parts: Dependencies and settings.
    """

    request: HttpRequest
    path: Mapping[str, str]
    operator: OperatorName
    parts: AdministrationParts

    @property
    def is_dry_run(self) -> bool:
        """Whether the request asks to evaluate a write without making it."""
        return self.request.query.get('dry_run') == _TRUE

    def body(self, kind: type[Body]) -> Result[Body, BadRequest]:
        """Decode the request's body.

        Args:
            kind: Dataclass to decode into.
        """
        try:
            return Ok(msgspec.json.decode(self.request.body, type=kind))
        except msgspec.MsgspecError as error:
            return Err(BadRequest(str(error)))

    def base_revision(self) -> Result[int, BadRequest | RevisionRequired]:
        """Return the revision in the If-Match header."""
        tag = self.request.headers.get('if-match')
        if tag is None:
            return Err(RevisionRequired())
        digits = tag.strip().strip('"')
        if digits.isascii() and digits.isdecimal():
            return Ok(int(digits))
        return Err(BadRequest(f'If-Match {tag} is not a revision'))

    def write_id(self) -> str:
        """Return the caller's idempotency key, or a new one if it sent none."""
        key = self.request.headers.get('idempotency-key', '')
        return key[:_MAX_WRITE_ID_LENGTH] or self.parts.new_write_id()

    async def read(self) -> Reading:
        """Return the stored configuration, or the active one as a fallback.

        The active one is returned if the store fails or does not answer
        within ``read_seconds``.
        """
        with trio.move_on_after(self.parts.read_seconds):
            head = await self.parts.repository.read()
            if isinstance(head, Ok):
                return Reading(head.ok_value.configuration, Source.STORE)
        return Reading(self.parts.follower.configuration(), Source.IN_FORCE)
