"""Adapter to the users' platform: its names, messages and formats."""

from carobwalk.platform._configuration import (
    CONFIGURATION_PREFIX,
    ConfigurationError,
    decode_configuration,
)
from carobwalk.platform._configuration_reader import ConfigurationReader
from carobwalk.platform._headers import PLATFORM_HEADERS, READINESS_PATH
from carobwalk.platform._orders import PlatformOrders
from carobwalk.platform._registry import (
    REGISTRY_PREFIX,
    EntryError,
    decode_entry,
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
    'PlatformOrders',
    'PlatformStore',
    'RegistryReader',
    'decode_configuration',
    'decode_entry',
)
