"""Merged timeline of the events of all processes."""

from demo._commands import run_command
from demo._context import DemoContext
from demo._errors import StepFailedError
from demo._registry import step


@step('the events of all processes are merged into one time line')
async def merge_time_line(context: DemoContext) -> str:
    """Merge the logs of all entries, as text and as HTML.

    Raises:
        StepFailedError: If the command fails.
    """
    logs = [
        str(entry.events_path)
        for fleet in context.fleets
        for entry in fleet.entries_by_name.values()
    ]
    for form, suffix in (('text', 'txt'), ('html', 'html')):
        path = context.directory / f'timeline.{suffix}'
        completed = await run_command(
            'timeline',
            f'--output={form}',
            f'--to={path}',
            *logs,
        )
        if completed.returncode:
            raise StepFailedError(completed.stderr.decode())
    lines = (context.directory / 'timeline.txt').read_text().count('\n')
    return f'{lines} lines in {context.directory / "timeline.txt"}'
