"""Handling of configuration writes over HTTP."""

from dataclasses import dataclass

from result import Err, Result

from carobwalk.admin._bodies import Deletion
from carobwalk.admin._error_view import DescribedFailure, error_response
from carobwalk.admin._exchange import Exchange
from carobwalk.admin._responses import ok_response, redact_secrets
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
    """A write as requested by an operator.

    Args:
        subject: Subject to change.
        action: Kind of change.
        fields: Complete new fields of the subject; empty for a deletion.
        reason: Operator's reason, for the history.
        reverting: Revisions of other operators that the write declares to
            revert.
        base_revision: Revision that the write is based on; ``None`` takes it
            from the If-Match header.
    """

    subject: Subject
    action: Action
    fields: Fields
    reason: str
    reverting: tuple[int, ...] = ()
    base_revision: int | None = None


async def handle_write(
    exchange: Exchange,
    stated: Result[Statement, DescribedFailure],
) -> HttpResponse:
    """Make a write, or evaluate it on a dry run, and return the response.

    Args:
        exchange: Context of the request.
        stated: The requested write, or why the request states none.
    """
    if isinstance(stated, Err):
        return error_response(stated.err_value)
    statement = stated.ok_value
    base_revision = statement.base_revision
    if base_revision is None:
        header_revision = exchange.base_revision()
        if isinstance(header_revision, Err):
            return error_response(header_revision.err_value)
        base_revision = header_revision.ok_value
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
        return await _handle_preview(exchange, proposal)
    return await _handle_commit(exchange, proposal)


async def handle_deletion(exchange: Exchange, subject: Subject) -> HttpResponse:
    """Delete a subject for the reason in the request's body.

    Args:
        exchange: Context of the request.
        subject: Subject to delete.
    """
    stated = exchange.body(Deletion).map(
        lambda body: Statement(
            subject=subject,
            action=Action.DELETE,
            fields={},
            reason=body.reason,
            reverting=body.reverting,
        ),
    )
    return await handle_write(exchange, stated)


async def _handle_preview(
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
        _redacted(preview.change),
        preview.effects,
    )
    return ok_response(view)


async def _handle_commit(
    exchange: Exchange,
    proposal: Proposal,
) -> HttpResponse:
    written = await exchange.parts.repository.write(proposal)
    if isinstance(written, Err):
        return error_response(written.err_value)
    acceptance = written.ok_value
    exchange.parts.follower.adopt(acceptance.configuration)
    view = acceptance_view(acceptance, proposal.write_id)
    return ok_response(view, acceptance.revision)


def acceptance_view(acceptance: Acceptance, write_id: str) -> WriteView:
    """Return the response body of an accepted write."""
    return WriteView(
        'accepted',
        acceptance.revision,
        write_id,
        acceptance.repeated,
        _redacted(acceptance.change),
    )


def _redacted(change: Change | None) -> Change | None:
    return None if change is None else redact_secrets(change)
