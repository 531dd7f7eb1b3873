"""Tests of the timeouts and intervals that are derived from settings."""

from dataclasses import asdict, replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carobwalk.app._derive_times import derive_times
from carobwalk.ownership import OwnershipTimes
from carobwalk.settings import Settings, load_settings

_EXAMPLE = Path(__file__).parents[2] / 'docs' / 'example-settings.json5'


@pytest.fixture(scope='module')
def example_settings() -> Settings:
    """Example settings, parsed once and not in each generated example."""
    return load_settings(str(_EXAMPLE)).unwrap()


class TestDeriveTimes:
    @given(heartbeat=st.floats(0.02, 10))
    def test_silence_limit(
        self, example_settings: Settings, heartbeat: float
    ) -> None:
        """The silence limit covers at least two heartbeat intervals."""
        ownership = replace(
            example_settings.ownership, heartbeat_seconds=heartbeat
        )
        times = derive_times(replace(example_settings, ownership=ownership))
        assert times.election_timeout >= 2 * times.heartbeat
        assert times.liveness_timeout > times.election_timeout

    def test_defaults_match(self, example_settings: Settings) -> None:
        """Default settings give the defaults of ``OwnershipTimes``.

        The randomised tests of ownership run with these defaults, so that
        they test the times that are in use.
        """
        times = derive_times(example_settings)
        expected = OwnershipTimes(
            store_timeout=times.store_timeout,
            host_list_interval=times.host_list_interval,
        )
        assert asdict(times) == pytest.approx(asdict(expected))
