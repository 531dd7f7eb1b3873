"""Options and calls that all writing commands share."""

import functools
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

import click

from carobwalk.cli._admin_answer import AdminClient
from carobwalk.cli._admin_connection import AdminCall
from carobwalk.cli._admin_text import write_lines

_REASON: Final = click.option(
    '--reason',
    required=True,
    help='Why, for the history.',
)
_DRY_RUN: Final = click.option(
    '--dry-run',
    is_flag=True,
    help='Show which services would change and how; change nothing.',
)
_WRITE_ID: Final = click.option(
    '--write-id',
    help='Identity of a write whose outcome was unknown, to repeat it.',
)
_REVISION: Final = click.option(
    '--revision',
    type=click.IntRange(min=0),
    help='Revision that the write is based on; the present one if left out.',
)
_REVERTING: Final = click.option(
    '--reverting',
    type=int,
    multiple=True,
    help="Another's revision that is knowingly taken back.",
)


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteOptions:
    """What a writing command was told.

    Args:
        reason: Why, for the history.
        dry_run: Whether to try the write only.
        write_id: Identity of the write.
        reverting: Others' revisions that are knowingly taken back.
        revision: Revision that the write is based on; the present one if
            ``None``.
    """

    reason: str
    dry_run: bool
    write_id: str | None
    reverting: tuple[int, ...] = ()
    revision: int | None = None

    def base_or(self, present: int) -> int:
        """Return the revision given by the operator, or the present one."""
        return present if self.revision is None else self.revision

    def call(
        self,
        method: str,
        path: str,
        base: int | None,
        **body: Any,
    ) -> AdminCall:
        """Return the call of a write.

        Args:
            method: HTTP method.
            path: Path of the administration.
            base: Revision that the write is based on, if it names one.
            body: Members of the request's body besides the options.
        """
        if self.reverting:
            body['reverting'] = list(self.reverting)
        return AdminCall(
            method=method,
            path=path,
            body={**body, 'reason': self.reason},
            base=base,
            query={'dry_run': 'true'} if self.dry_run else {},
            write_id=self.write_id or uuid.uuid4().hex,
        )


def reason_options(function: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options of every write, passed on as ``write``."""
    return _add(function, _REASON, _DRY_RUN, _WRITE_ID)


def write_options(function: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options of writes on a revision, passed on as ``write``."""
    options = (_REASON, _DRY_RUN, _WRITE_ID, _REVISION, _REVERTING)
    return _add(function, *options)


def _add(
    function: Callable[..., Any],
    *options: Callable[[Any], Any],
) -> Callable[..., Any]:
    @functools.wraps(function)
    def wrapper(*args: Any, **named: Any) -> Any:
        known = WriteOptions.__dataclass_fields__.keys() & named.keys()
        chosen = {name: named.pop(name) for name in known}
        return function(*args, write=WriteOptions(**chosen), **named)

    command: Callable[..., Any] = wrapper
    for option in reversed(options):
        command = option(command)
    return command


def send_write(client: AdminClient, call: AdminCall) -> None:
    """Make a write and print its result."""
    answer = client.fetch(call)
    client.echo(answer, *write_lines(answer))
