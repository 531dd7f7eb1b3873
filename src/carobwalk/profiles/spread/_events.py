"""Events of the spread of the configuration."""

from dataclasses import dataclass

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class ConfigurationInForce(Event):
    """A process put a revision in force.

    Args:
        revision: The revision.
        source: ``store``, ``writer`` or the name of the peer that passed it.
    """

    revision: int
    source: str


@dataclass(frozen=True, slots=True)
class ConfigurationDamaged(Event):
    """A configuration could not be read and was left aside."""

    source: str
    detail: str


@dataclass(frozen=True, slots=True)
class ConfigurationStoreLost(Event):
    """The store stopped answering; the revision stays in force."""

    revision: int
    detail: str


@dataclass(frozen=True, slots=True)
class ConfigurationStoreBehind(Event):
    """The store answered with a lower revision than one in force."""

    store_revision: int
    revision: int
