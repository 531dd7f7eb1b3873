"""Adapter to the hosting platform: header names, messages and formats."""

from carobwalk.platform._configuration import (
    CONFIGURATION_PREFIX,
    ConfigurationError,
    decode_configuration,
)
from carobwalk.platform._configuration_reader import ConfigurationReader
from carobwalk.platform._evacuation_reader import EvacuationReader
from carobwalk.platform._grant_channel import PlatformGrantChannel
from carobwalk.platform._headers import PLATFORM_HEADERS, READINESS_PATH
from carobwalk.platform._operator_reader import OperatorReader
from carobwalk.platform._registry import (
    REGISTRY_PREFIX,
    EntryError,
    decode_registry_entry,
)
from carobwalk.platform._registry_reader import RegistryReader
from carobwalk.platform._store_client import PlatformStore

__all__ = (
    'CONFIGURATION_PREFIX',
    'PLATFORM_HEADERS',
    'READINESS_PATH',
    'REGISTRY_PREFIX',
    'ConfigurationError',
    'ConfigurationReader',
    'EntryError',
    'EvacuationReader',
    'OperatorReader',
    'PlatformGrantChannel',
    'PlatformStore',
    'RegistryReader',
    'decode_configuration',
    'decode_registry_entry',
)
