"""What the administration works with."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

from carobwalk.admin._authenticator import Authenticator
from carobwalk.admin._explanation import ExplainOwnership
from carobwalk.admin._quarantine import EmptyQuarantine, QuarantineDesk
from carobwalk.profiles import (
    ConfigurationFollower,
    ConfigurationHistory,
    ConfigurationRepository,
)


def _new_write_id() -> str:
    return uuid.uuid4().hex


@dataclass(frozen=True, slots=True, kw_only=True)
class AdministrationParts:
    """Parts of the process that the administration uses.

    Args:
        repository: Reads and writes of the configuration.
        history: Reads of the history.
        follower: Configuration in force at this process.
        authenticator: Checks tokens.
        explain_ownership: Ownership's part of an explanation.
        quarantine: Quarantined requests.
        new_write_id: Returns an identity for a write that has none.
        read_seconds: Wait for the store before a read shows what is in force.
    """

    repository: ConfigurationRepository
    history: ConfigurationHistory
    follower: ConfigurationFollower
    authenticator: Authenticator
    explain_ownership: ExplainOwnership
    quarantine: QuarantineDesk = field(default_factory=EmptyQuarantine)
    new_write_id: Callable[[], str] = _new_write_id
    read_seconds: float = 1
