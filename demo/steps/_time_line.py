"""The merged time line."""

from demo._commands import run_command
from demo._errors import StepFailedError
from demo._registry import step
from demo._scene import Scene


@step('the events of all processes are merged into one time line')
async def merge_time_line(scene: Scene) -> str:
    """Merge the logs of all entries, as text and as a picture."""
    logs = [
        str(entry.events_path)
        for fleet in scene.fleets
        for entry in fleet.entries_by_name.values()
    ]
    for form, suffix in (('text', 'txt'), ('html', 'html')):
        path = scene.directory / f'timeline.{suffix}'
        ended = await run_command(
            'timeline',
            f'--output={form}',
            f'--to={path}',
            *logs,
        )
        if ended.returncode:
            raise StepFailedError(ended.stderr.decode())
    lines = (scene.directory / 'timeline.txt').read_text().count('\n')
    return f'{lines} lines in {scene.directory / "timeline.txt"}'
