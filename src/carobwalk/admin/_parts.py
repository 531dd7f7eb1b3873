"""Dependencies of the administration API."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

from carobwalk.admin._authenticator import Authenticator
from carobwalk.admin._explanation import ExplainOwnership
from carobwalk.admin._quarantine import EmptyQuarantine, RequestQuarantine
from carobwalk.profiles import (
    ConfigurationFollower,
    ConfigurationHistory,
    ConfigurationRepository,
)


def _new_write_id() -> str:
    return uuid.uuid4().hex


@dataclass(frozen=True, slots=True, kw_only=True)
class AdministrationParts:
    """Dependencies and settings of the administration API.

    Args:
        repository: Reads and writes the configuration.
        history: Reads the change history.
        follower: Provides the active configuration of this process.
        authenticator: Authenticates operators.
        explain_ownership: Returns the ownership of a key.
        quarantine: Quarantined requests.
        new_write_id: Returns a unique id for a write without an idempotency
            key.
        read_seconds: Timeout in seconds of a read from the store, after
            which the active configuration is returned.
    """

    repository: ConfigurationRepository
    history: ConfigurationHistory
    follower: ConfigurationFollower
    authenticator: Authenticator
    explain_ownership: ExplainOwnership
    quarantine: RequestQuarantine = field(default_factory=EmptyQuarantine)
    new_write_id: Callable[[], str] = _new_write_id
    read_seconds: float = 1
