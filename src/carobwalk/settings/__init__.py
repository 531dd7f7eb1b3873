"""Settings of a process, loaded from a JSON5 file and validated."""

from carobwalk.settings._address import parse_address
from carobwalk.settings._administration import Administration
from carobwalk.settings._errors import (
    SettingsError,
    SettingsErrorKind,
    SettingsErrors,
)
from carobwalk.settings._gateway import (
    Bounds,
    Choice,
    GatewayListen,
    GatewaySettings,
    HostLimits,
    StoreAccess,
)
from carobwalk.settings._limits import Limits
from carobwalk.settings._listen import Listen
from carobwalk.settings._load import (
    load_gateway_settings,
    load_settings,
    parse_settings,
)
from carobwalk.settings._log import Log, LogLevel
from carobwalk.settings._ownership import Ownership
from carobwalk.settings._platform import Platform
from carobwalk.settings._process import Process
from carobwalk.settings._settings import Settings

__all__ = (
    'Administration',
    'Bounds',
    'Choice',
    'GatewayListen',
    'GatewaySettings',
    'HostLimits',
    'Limits',
    'Listen',
    'Log',
    'LogLevel',
    'Ownership',
    'Platform',
    'Process',
    'Settings',
    'SettingsError',
    'SettingsErrorKind',
    'SettingsErrors',
    'StoreAccess',
    'load_gateway_settings',
    'load_settings',
    'parse_address',
    'parse_settings',
)
