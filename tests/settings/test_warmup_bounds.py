"""Settings of cold servers through the deployment's template."""

from pathlib import Path

import pytest

from carobwalk.model import Address
from carobwalk.settings import load_gateway_settings
from standins.platform import RouterAddresses, fill_settings

ADDRESS = Address('127.0.0.1', 1)
ADDRESSES = RouterAddresses(
    callers=ADDRESS,
    readiness=ADDRESS,
    peers=ADDRESS,
    metrics=ADDRESS,
    store=ADDRESS,
)


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ({}, (1.5, 8)),
        ({'bounds.warmup_overshoot': 2}, (2, 8)),
        ({'bounds.warmup_slack': 0}, (1.5, 0)),
        (
            {'bounds.warmup_overshoot': 1.25, 'bounds.warmup_slack': 3},
            (1.25, 3),
        ),
    ],
)
def test_bounds(tmp_path: Path, fields, expected) -> None:
    """Each bound is used if the platform states it, else its default."""
    path = tmp_path / 'settings.json5'
    path.write_text(fill_settings('p1', ADDRESSES, fields))
    bounds = load_gateway_settings(path).ok_value.bounds
    assert (bounds.warmup_overshoot, bounds.warmup_slack) == expected
