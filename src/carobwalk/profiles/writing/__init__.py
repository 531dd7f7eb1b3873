"""Reads and conditional writes of the configuration in the store."""

from carobwalk.profiles.writing._head_record import HeadRecord
from carobwalk.profiles.writing._history import ConfigurationHistory
from carobwalk.profiles.writing._preview import Acceptance, Preview
from carobwalk.profiles.writing._proposal import Proposal
from carobwalk.profiles.writing._repository import (
    ConfigurationRepository,
    WriteSettings,
)

__all__ = (
    'Acceptance',
    'ConfigurationHistory',
    'ConfigurationRepository',
    'HeadRecord',
    'Preview',
    'Proposal',
    'WriteSettings',
)
