"""Writes that operators ask for over HTTP."""

from dataclasses import dataclass

from result import Err

from carobwalk.admin._answers import hide_secrets, ok_response
from carobwalk.admin._error_view import error_response
from carobwalk.admin._exchange import Exchange
from carobwalk.admin._views import PreviewView, WriteView
from carobwalk.http import HttpResponse
from carobwalk.profiles import (
    Acceptance,
    Action,
    Change,
    Fields,
    Proposal,
    Subject,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Statement:
    """A write as its body states it.

    Args:
        subject: What to change.
        action: How.
        fields: All fields that are to be set.
        reason: Why.
        reverting: Others' revisions that are knowingly taken back.
        base_revision: Revision it is based on; read from If-Match if ``None``.
    """

    subject: Subject
    action: Action
    fields: Fields
    reason: str
    reverting: tuple[int, ...] = ()
    base_revision: int | None = None


async def answer_write(
    exchange: Exchange,
    statement: Statement,
) -> HttpResponse:
    """Make a write, or try it, and return the answer."""
    base_revision = statement.base_revision
    if base_revision is None:
        named = exchange.base_revision()
        if isinstance(named, Err):
            return error_response(named.err_value)
        base_revision = named.ok_value
    proposal = Proposal(
        subject=statement.subject,
        action=statement.action,
        fields=statement.fields,
        base_revision=base_revision,
        write_id=exchange.write_id(),
        author=exchange.operator,
        reason=statement.reason,
        reverting=frozenset(statement.reverting),
    )
    if exchange.is_dry_run:
        return await _answer_preview(exchange, proposal)
    return await _answer_acceptance(exchange, proposal)


async def _answer_preview(
    exchange: Exchange,
    proposal: Proposal,
) -> HttpResponse:
    previewed = await exchange.parts.repository.preview(proposal)
    if isinstance(previewed, Err):
        return error_response(previewed.err_value)
    preview = previewed.ok_value
    view = PreviewView(
        'dry-run',
        preview.revision,
        _shown(preview.change),
        preview.effects,
    )
    return ok_response(view)


async def _answer_acceptance(
    exchange: Exchange,
    proposal: Proposal,
) -> HttpResponse:
    written = await exchange.parts.repository.write(proposal)
    if isinstance(written, Err):
        return error_response(written.err_value)
    acceptance = written.ok_value
    exchange.parts.follower.adopt(acceptance.configuration)
    view = accepted_view(acceptance, proposal.write_id)
    return ok_response(view, acceptance.revision)


def accepted_view(acceptance: Acceptance, write_id: str) -> WriteView:
    """Return the answer to an accepted write."""
    return WriteView(
        'accepted',
        acceptance.revision,
        write_id,
        acceptance.repeated,
        _shown(acceptance.change),
    )


def _shown(change: Change | None) -> Change | None:
    return None if change is None else hide_secrets(change)
