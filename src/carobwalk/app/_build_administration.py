"""Construction of the administration API of a process."""

import random
import time

from carobwalk.admin import (
    AdministrationApi,
    AdministrationParts,
    Authenticator,
    PlacementExplainer,
    RequestQuarantine,
)
from carobwalk.app._administration_handler import AdministrationHandler
from carobwalk.app._core import Core
from carobwalk.dispatch import limit_policies, queue_policies
from carobwalk.metrics import ScrapeHandler
from carobwalk.ownership import Placements
from carobwalk.profiles import (
    ConfigurationFollower,
    ConfigurationHistory,
    ConfigurationRepository,
    Policies,
    WriteSettings,
)


def build_administration(
    core: Core,
    follower: ConfigurationFollower,
    placements: Placements,
    quarantine: RequestQuarantine,
) -> AdministrationHandler:
    """Return the HTTP handler of the administration listener.

    Args:
        core: Shared components of the process.
        follower: Holds the configuration in force.
        placements: Shard map, used to explain ownership.
        quarantine: Lists and clears quarantined requests.
    """
    repository = ConfigurationRepository(
        core.store,
        time.time,
        random.Random(),
        WriteSettings(
            known_revision=follower.known_revision,
            policies=Policies(
                {
                    'dispatch_policy': frozenset(queue_policies.names),
                    'limit_policy': frozenset(limit_policies.names),
                },
            ),
        ),
    )
    api = AdministrationApi(
        AdministrationParts(
            repository=repository,
            history=ConfigurationHistory(core.store),
            follower=follower,
            authenticator=Authenticator(
                follower.configuration,
                core.settings.administration.bootstrap_hash,
            ),
            explain_ownership=PlacementExplainer(placements),
            quarantine=quarantine,
        ),
    )
    return AdministrationHandler(ScrapeHandler(core.metrics), api)
