"""The page of operations against the program."""

import re
from pathlib import Path

from click.testing import CliRunner

from carobwalk.cli import main
from carobwalk.metrics import (
    GatewayMeter,
    Measurement,
    Metrics,
    ObservableInstrument,
)

ROOT = Path(__file__).parent.parent.parent
PAGE = (ROOT / 'docs/OPERATIONS.md').read_text()
NAMES = frozenset(re.findall(r'^\| `(carobwalk_[a-z_]+)`', PAGE, re.MULTILINE))


def _read_one() -> tuple[Measurement, ...]:
    return (Measurement(1, {}),)


class TestOperationsPage:
    def test_commands(self) -> None:
        """Each command on the page exists."""
        commands = re.findall('^    carobwalk ([a-z-]+)', PAGE, re.MULTILINE)
        assert commands
        for name in commands:
            ran = CliRunner().invoke(main, [name, '--help'])
            assert ran.exit_code == 0

    def test_metrics(self) -> None:
        """Each metric of the page is served under this name."""
        metrics = Metrics('p')
        meter = GatewayMeter(metrics)
        meter.record('a', 0, 200, 0.1)
        meter.record_refusal('a', 'full')
        metrics.record_event('e')
        metrics.record_store_call('kv-range', '200')
        watched = {
            'configuration.version': ('', False),
            'backend.servers': ('', False),
            'backend.connections': ('', True),
            'peer': ('By', True),
        }
        for name, (unit, is_monotonic) in watched.items():
            metrics.register_observable(
                ObservableInstrument(
                    name=name,
                    description='x',
                    read=_read_one,
                    unit=unit,
                    is_monotonic=is_monotonic,
                ),
            )
        served = metrics.render().decode()
        missing = [
            name
            for name in NAMES
            if f'\n{name}' not in served and f'\n{name}_count' not in served
        ]
        assert not missing
        assert len(NAMES) >= 10

    def test_events(self) -> None:
        """Each event that the page names is one of the program's."""
        sources = ''.join(
            path.read_text() for path in (ROOT / 'src/carobwalk').rglob('*.py')
        )
        named = set(re.findall('`([A-Z][a-z]+[A-Z][A-Za-z]+)', PAGE))
        for event in named:
            assert f'class {event}(Event)' in sources, event
