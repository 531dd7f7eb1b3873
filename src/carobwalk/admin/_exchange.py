"""One call to the administration."""

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
_LONGEST_WRITE_ID = 128


@dataclass(frozen=True, slots=True)
class Reading:
    """A configuration and where it was read."""

    configuration: Configuration
    source: Source


@dataclass(frozen=True, slots=True)
class Exchange:
    """A call of an operator who may make it.

    Args:
        request: The request.
        path: Values of the variable segments of the path, by name.
        operator: Who calls.
        parts: Parts of the process.
    """

    request: HttpRequest
    path: Mapping[str, str]
    operator: OperatorName
    parts: AdministrationParts

    @property
    def is_dry_run(self) -> bool:
        """Whether a write is only to be tried."""
        return self.request.query.get('dry_run') == _TRUE

    def body(self, kind: type[Body]) -> Result[Body, BadRequest]:
        """Return the body as a data class."""
        try:
            return Ok(msgspec.json.decode(self.request.body, type=kind))
        except msgspec.MsgspecError as error:
            return Err(BadRequest(str(error)))

    def base_revision(self) -> Result[int, BadRequest | RevisionRequired]:
        """Return the revision that a write is based on."""
        tag = self.request.headers.get('if-match')
        if tag is None:
            return Err(RevisionRequired())
        digits = tag.strip().strip('"')
        if digits.isascii() and digits.isdecimal():
            return Ok(int(digits))
        return Err(BadRequest(f'If-Match {tag} is not a revision'))

    def write_id(self) -> str:
        """Return the identity of a write, which the caller may give."""
        given = self.request.headers.get('idempotency-key', '')
        return given[:_LONGEST_WRITE_ID] or self.parts.new_write_id()

    async def read(self) -> Reading:
        """Return the configuration, from the store if it answers."""
        with trio.move_on_after(self.parts.read_seconds):
            head = await self.parts.repository.read()
            if isinstance(head, Ok):
                return Reading(head.ok_value.configuration, Source.STORE)
        return Reading(self.parts.follower.configuration(), Source.IN_FORCE)
