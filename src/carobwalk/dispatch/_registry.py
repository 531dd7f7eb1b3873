"""Registry of policies by name."""

import functools
from collections.abc import Callable
from typing import Generic, TypeVar

from carobwalk.dispatch._errors import DuplicatePolicyError, UnknownPolicyError
from carobwalk.profiles import Profile

Policy = TypeVar('Policy')
Factory = Callable[[Profile], Policy]


class Registry(Generic[Policy]):
    """Maps the policy names used in profiles to factories."""

    def __init__(self) -> None:
        self._factories_by_name: dict[str, Factory[Policy]] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all registered policies, sorted."""
        return tuple(sorted(self._factories_by_name))

    def register(
        self,
        name: str,
    ) -> Callable[[Factory[Policy]], Factory[Policy]]:
        """Return a decorator that registers a policy.

        Args:
            name: Name of the policy in profiles.

        Raises:
            DuplicatePolicyError: If the name is already registered.
        """
        if name in self._factories_by_name:
            raise DuplicatePolicyError(name)
        return functools.partial(self._add, name)

    def make(self, name: str, profile: Profile) -> Policy:
        """Return a new instance of a policy for a profile.

        Raises:
            UnknownPolicyError: If the name is not registered.
        """
        factory = self._factories_by_name.get(name)
        if factory is None:
            raise UnknownPolicyError(name)
        return factory(profile)

    def _add(
        self,
        name: str,
        factory: Factory[Policy],
    ) -> Factory[Policy]:
        self._factories_by_name[name] = factory
        return factory
