"""Options and calls shared by all commands that write."""

import functools
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

import click

from carobwalk.cli._admin_client import AdminClient
from carobwalk.cli._admin_connection import AdminCall
from carobwalk.cli._admin_text import format_write_result

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
    """Options of a command that writes.

    Args:
        reason: Reason that is recorded in the history of changes.
        dry_run: Whether to validate the write and show its effects without
            applying it.
        write_id: Idempotency key of the write; ``None`` generates one.
        reverting: Revisions of other operators' changes that the write
            deliberately reverts.
        revision: Revision that the write is based on; the current one if
            ``None``.
    """

    reason: str
    dry_run: bool
    write_id: str | None
    reverting: tuple[int, ...] = ()
    revision: int | None = None

    def base_revision_or(self, current: int) -> int:
        """Return the revision given on the command line, or ``current``."""
        return current if self.revision is None else self.revision

    def build_call(
        self,
        method: str,
        path: str,
        base: int | None,
        **body: Any,
    ) -> AdminCall:
        """Build the call of a write.

        Args:
            method: HTTP method.
            path: Path of the administration API.
            base: Revision that the write is based on, if it is based on one.
            body: Members of the JSON body besides ``reason`` and ``reverting``.
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
    """Add the options of all writes; the command gets them as ``write``."""
    return _add_options(function, _REASON, _DRY_RUN, _WRITE_ID)


def write_options(function: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options of writes that are based on a revision.

    The command gets them as ``write``.
    """
    options = (_REASON, _DRY_RUN, _WRITE_ID, _REVISION, _REVERTING)
    return _add_options(function, *options)


def _add_options(
    function: Callable[..., Any],
    *options: Callable[[Any], Any],
) -> Callable[..., Any]:
    @functools.wraps(function)
    def wrapper(*args: Any, **arguments: Any) -> Any:
        names = WriteOptions.__dataclass_fields__.keys() & arguments.keys()
        values = {name: arguments.pop(name) for name in names}
        return function(*args, write=WriteOptions(**values), **arguments)

    command: Callable[..., Any] = wrapper
    for option in reversed(options):
        command = option(command)
    return command


def send_write(client: AdminClient, call: AdminCall) -> None:
    """Send a write and print its result."""
    answer = client.request(call)
    client.echo(answer, *format_write_result(answer))
