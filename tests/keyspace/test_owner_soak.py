"""Random faults over the real coordinators on a simulated fleet."""

import pytest

from tests.keyspace.owner_faults import (
    ORDERS_PLAN,
    REFUSALS_PLAN,
    REGISTRY_PLAN,
    START_PLAN,
)
from tests.keyspace.owner_soak import run_seeds

SEEDS = range(20)
# Seeds that have found faults before:
# 34, 40, 66: a grant that was not sent restored the bound from before the
# predecessor's report, and keys moved while they were still held.
# 73: a process raised RuntimeError when its term ended while it resigned.
REGRESSION_SEEDS = (34, 40, 66, 73)

REGISTRY_SEEDS = range(8)
# Seeds that have found faults before:
# 47: a coordinator that knew only the former life of a restarted server
# took the refusal at its former address for the end of the new one.
# 1129, 1208: refusals of an earlier term proved the end of a server to which
# another coordinator had granted keys since.
REGISTRY_REGRESSION_SEEDS = (47, 1129, 1208)

START_SEEDS = range(8)
# Seeds that show two owners without the rule of test_adopted_map.py: 65, 131: a
# coordinator went on with the first map that another one had written late, and
# its successor asked that other one for the grants in force.
START_REGRESSION_SEEDS = (65, 131)

REFUSALS_SEEDS = range(8)
# Seeds that have found faults before:
# 12: a full server that refused connections was taken to have ended.
REFUSALS_REGRESSION_SEEDS = (12,)


def _check(seed: int, plan: str) -> None:
    """Run a seed; fail if it finds anything."""
    found = run_seeds((seed,), workers=1, plan=plan)[0]
    assert found.violations == (), '\n'.join(found.trace)
    assert found.fence_violations == (), '\n'.join(found.trace)
    assert found.errors == ()
    assert found.recovered


class TestRandomFaults:
    @pytest.mark.parametrize('seed', sorted({*SEEDS, *REGRESSION_SEEDS}))
    def test_one_owner(self, seed: int) -> None:
        """No key has two owners, fences rise, and all keys get owners again."""
        _check(seed, ORDERS_PLAN)

    @pytest.mark.parametrize(
        'seed', sorted({*REGISTRY_SEEDS, *REGISTRY_REGRESSION_SEEDS})
    )
    def test_registry(self, seed: int) -> None:
        """The same holds while each process sees another registry."""
        _check(seed, REGISTRY_PLAN)

    @pytest.mark.parametrize(
        'seed', sorted({*START_SEEDS, *START_REGRESSION_SEEDS})
    )
    def test_start(self, seed: int) -> None:
        """The same holds while the first maps are written."""
        _check(seed, START_PLAN)

    @pytest.mark.parametrize(
        'seed', sorted({*REFUSALS_SEEDS, *REFUSALS_REGRESSION_SEEDS})
    )
    def test_refusals(self, seed: int) -> None:
        """The same holds while full servers refuse connections and live."""
        _check(seed, REFUSALS_PLAN)
