"""Initial configuration of a small deployment."""

import random
import time
from collections.abc import Iterator, Mapping
from uuid import uuid4

from result import Err

from carobwalk.admin import hash_secret
from carobwalk.model import CarobwalkError, OperatorName
from carobwalk.profiles import (
    Action,
    ConfigurationRepository,
    Proposal,
    Role,
    Subject,
    SubjectKind,
)
from carobwalk.store import Store
from standins.fleet._deployment import Deployment

_AUTHOR = OperatorName('setup')


class ConfigurationRefusedError(CarobwalkError):
    """The store failed or the initial configuration was rejected."""


async def configure(store: Store, deployment: Deployment) -> None:
    """Write the profiles, services and operators of a deployment.

    Raises:
        ConfigurationRefusedError: If one of them was rejected.
    """
    repository = ConfigurationRepository(store, time.time, random.Random())
    for subject, fields in _initial_configuration(deployment):
        head = await repository.read()
        if isinstance(head, Err):
            raise ConfigurationRefusedError(repr(head.err_value))
        written = await repository.write(
            Proposal(
                subject=subject,
                action=Action.PUT,
                fields=fields,
                base_revision=head.ok_value.revision,
                write_id=uuid4().hex,
                author=_AUTHOR,
                reason='first configuration',
            ),
        )
        if isinstance(written, Err):
            raise ConfigurationRefusedError(repr(written.err_value))


def _initial_configuration(
    deployment: Deployment,
) -> Iterator[tuple[Subject, Mapping[str, object]]]:
    for service in deployment.services:
        fields = {
            **deployment.profile_fields,
            'keyed': service.keyed,
            'checks_grants': service.keyed,
        }
        yield Subject(SubjectKind.PROFILE, service.profile), fields
        assignment = {'profile': service.profile}
        yield Subject(SubjectKind.SERVICE, service.name), assignment
    for token in deployment.tokens:
        fields = {'secret_hash': hash_secret(token), 'roles': sorted(Role)}
        yield Subject(SubjectKind.OPERATOR, token.operator), fields
