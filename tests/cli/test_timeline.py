"""Tests of the command ``timeline``."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from carobwalk.cli import ExitCode, main
from carobwalk.events import HybridStamp, LoggedEvent, format_line


def _run(*arguments: str) -> Result:
    return CliRunner().invoke(main, ['timeline', *arguments])


@pytest.fixture
def logs(tmp_path: Path) -> list[str]:
    """Return paths of two logs, one of which ends in a truncated line."""
    paths = []
    for process in ('a', 'b'):
        events = [
            LoggedEvent(
                process,
                HybridStamp(number * 2 + (process == 'b'), 0),
                'Step',
                {'key': f'k{number}', 'shard': str(number % 2)},
            )
            for number in range(4)
        ]
        path = tmp_path / f'{process}.log'
        path.write_text('\n'.join([*map(format_line, events), '']))
        paths.append(path)
    with paths[0].open('a') as stream:
        stream.write('process=a hlc=')
    return [str(path) for path in paths]


class TestTimeline:
    def test_order(self, logs: list[str]) -> None:
        """Events of all logs are merged in order; a bad line is reported."""
        outcome = _run(*logs)
        assert outcome.exit_code == ExitCode.OK
        processes = [line.split()[1] for line in outcome.stdout.splitlines()]
        assert ''.join(processes) == 'abababab'
        assert f'left out {logs[0]}:5: ' in outcome.stderr

    def test_filters(self, logs: list[str]) -> None:
        """Only events that match all filter options are printed."""
        arguments = ('--key', 'k1', '--key', 'k3', '--shard', '1')
        outcome = _run(*logs, *arguments, '--process', 'b', '--output', 'json')
        events = json.loads(outcome.stdout)['events']
        assert [event['fields']['key'] for event in events] == ['k1', 'k3']
        assert {event['process'] for event in events} == {'b'}

    @pytest.mark.parametrize(
        ('output', 'start'),
        [('svg', '<svg'), ('html', '<!DOCTYPE html>')],
    )
    def test_picture(
        self,
        logs: list[str],
        tmp_path: Path,
        output: str,
        start: str,
    ) -> None:
        """The picture is written to the file given by ``--to``."""
        target = tmp_path / 'picture'
        outcome = _run(*logs, '--output', output, '--to', str(target))
        assert outcome.exit_code == ExitCode.OK
        assert target.read_text().startswith(start)

    def test_missing(self, logs: list[str]) -> None:
        """A missing log results in the exit code for invalid input."""
        outcome = _run(*logs, 'absent.log')
        assert outcome.exit_code == ExitCode.INPUT
        assert 'absent.log' in outcome.stderr

    def test_no_logs(self) -> None:
        """A call without logs is a usage error."""
        assert _run().exit_code == ExitCode.USAGE
