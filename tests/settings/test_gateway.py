"""Tests of the settings on the users' platform, filled into the template."""

from pathlib import Path

import pytest

from carobwalk.model import Address
from carobwalk.settings import Bounds, load_gateway_settings
from standins.platform import RouterAddresses, fill_settings

_ADDRESS = Address('127.0.0.1', 1)
_ADDRESSES = RouterAddresses(
    callers=_ADDRESS,
    readiness=_ADDRESS,
    peers=_ADDRESS,
    metrics=_ADDRESS,
    store=_ADDRESS,
)


class TestTemplate:
    @pytest.mark.parametrize(
        ('options', 'seconds'),
        [({}, 5), ({'bounds.evacuate_s': 7.5}, 7.5)],
    )
    def test_evacuation(self, tmp_path: Path, options, seconds) -> None:
        """The bound on evacuations is filled in, or has its default.

        Guards against a file that can't be read where the platform has no
        such field.
        """
        path = tmp_path / 'settings.json5'
        path.write_text(fill_settings('p1', _ADDRESSES, options))
        bounds = load_gateway_settings(path).unwrap().bounds
        assert bounds.evacuation_seconds == seconds


def test_news() -> None:
    """Records are known in time for the shortest of the bounds.

    Guards against an evacuation that a process learns of after its end.
    """
    assert Bounds(evacuation_seconds=1).news_seconds == 1
    assert Bounds(leaving_seconds=1).news_seconds == 1
    assert Bounds(configuration_seconds=1).news_seconds == 1
