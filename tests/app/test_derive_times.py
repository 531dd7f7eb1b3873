"""Tests of the times of ownership."""

from dataclasses import asdict, replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carobwalk.app._derive_times import derive_times
from carobwalk.ownership import OwnershipTimes
from carobwalk.settings import load_settings

_EXAMPLE = Path(__file__).parents[2] / 'docs' / 'example-settings.json5'


class TestDeriveTimes:
    @given(heartbeat=st.floats(0.02, 10))
    def test_silence(self, heartbeat: float) -> None:
        """A coordinator is not silent between two of its heartbeats."""
        settings = load_settings(str(_EXAMPLE)).unwrap()
        ownership = replace(settings.ownership, heartbeat_seconds=heartbeat)
        times = derive_times(replace(settings, ownership=ownership))
        assert times.election_timeout >= 2 * times.heartbeat
        assert times.liveness_timeout > times.election_timeout

    def test_defaults(self) -> None:
        """The defaults of the settings are those that ownership is run with.

        The randomised runs of ownership use the defaults of its own times.
        """
        settings = load_settings(str(_EXAMPLE)).unwrap()
        times = derive_times(settings)
        wanted = OwnershipTimes(
            store_timeout=times.store_timeout,
            host_list_interval=times.host_list_interval,
        )
        assert asdict(times) == pytest.approx(asdict(wanted))
