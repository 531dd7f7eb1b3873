"""Commands, metrics and events that the operations page names."""

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


def _read_measurement() -> tuple[Measurement, ...]:
    return (Measurement(1, {}),)


class TestOperationsPage:
    def test_commands(self) -> None:
        """Each command that the page names exists."""
        commands = re.findall('^    carobwalk ([a-z-]+)', PAGE, re.MULTILINE)
        assert commands
        for name in commands:
            result = CliRunner().invoke(main, [name, '--help'])
            assert result.exit_code == 0

    def test_metrics(self) -> None:
        """Each metric that the page names is exported under that name."""
        metrics = Metrics('p')
        meter = GatewayMeter(metrics)
        meter.record('a', 0, 200, 0.1)
        meter.record_refusal('a', 'full')
        meter.record_pipelined('waiting')
        metrics.record_event('e')
        metrics.record_store_call('kv-range', '200')
        observables = {
            'configuration.version': ('', False),
            'backend.servers': ('', False),
            'backend.connections': ('', True),
            'evacuation.data_centres': ('', False),
            'evacuation.keys': ('', False),
            'peer': ('By', True),
        }
        for name, (unit, is_monotonic) in observables.items():
            metrics.register_observable(
                ObservableInstrument(
                    name=name,
                    description='x',
                    read=_read_measurement,
                    unit=unit,
                    is_monotonic=is_monotonic,
                ),
            )
        exported = metrics.render().decode()
        missing = [
            name
            for name in NAMES
            if f'\n{name}' not in exported and f'\n{name}_count' not in exported
        ]
        assert not missing
        assert len(NAMES) >= 10

    def test_events(self) -> None:
        """Each event that the page names is defined in the source."""
        sources = ''.join(
            path.read_text() for path in (ROOT / 'src/carobwalk').rglob('*.py')
        )
        event_names = set(re.findall('`([A-Z][a-z]+[A-Z][A-Za-z]+)', PAGE))
        for event in event_names:
            assert f'class {event}(Event)' in sources, event
