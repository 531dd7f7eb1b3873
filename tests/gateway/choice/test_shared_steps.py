"""Steps of time that processes with different clocks count alike."""

import random

from carobwalk.gateway.choice._shared_steps import SharedSteps

_STEP = 0.25
_OFFSETS = (0, 17.3, -4000.0, 1e6)
_MAX_ERROR = 0.03


class TestSharedSteps:
    def test_clocks(self) -> None:
        """All processes are in the same step, up to the fastest message."""
        draw = random.Random(1)
        for offset in _OFFSETS:
            steps = SharedSteps(_STEP)
            for receipt in range(40):
                now = 5000 + receipt * _STEP
                delay = draw.uniform(0.005, 0.2)
                steps.apply(now - delay, now + offset)
            step, elapsed = steps.at(5010 + offset)
            assert abs(step * _STEP + elapsed - 5010) < _MAX_ERROR

    def test_drift(self) -> None:
        """A local clock that is fast is followed."""
        steps = SharedSteps(_STEP)
        for receipt in range(4000):
            now = 5000 + receipt * _STEP
            steps.apply(now, now * 1.001)
        step, elapsed = steps.at(now * 1.001)
        assert abs(step * _STEP + elapsed - now) < _MAX_ERROR

    def test_no_phase(self) -> None:
        """A coordinator that doesn't tell its time is no source of steps."""
        steps = SharedSteps(_STEP)
        steps.apply(0, 7)
        assert not steps.is_known
        steps.apply(3, 7)
        assert steps.is_known
