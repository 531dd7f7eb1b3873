"""Builders of proposals for tests."""

from typing import Any

from carobwalk.model import OperatorName
from carobwalk.profiles import Action, Proposal, Subject, SubjectKind

PROFILE = SubjectKind.PROFILE
SERVICE = SubjectKind.SERVICE


def propose(
    kind: SubjectKind,
    name: str,
    fields: dict[str, Any] | None,
    base: int,
    *,
    action: Action = Action.PUT,
    author: str = 'ana',
    write_id: str | None = None,
    reverting: tuple[int, ...] = (),
) -> Proposal:
    """Return a proposal; ``None`` as fields makes it a deletion."""
    return Proposal(
        subject=Subject(kind, name),
        action=Action.DELETE if fields is None else action,
        fields=fields or {},
        base_revision=base,
        write_id=write_id or f'{author}-{base}-{kind}-{name}-{action}',
        author=OperatorName(author),
        reason='a test',
        reverting=frozenset(reverting),
    )
