"""Relaying of the store's records from a few processes to all others.

One process in each region reads the records from the store. The others learn
of changes from it, so that a change costs a call for each region, not for each
process.
"""

from carobwalk.relay._freshness import FreshnessTimes
from carobwalk.relay._messages import RELAY_TOPIC
from carobwalk.relay._record_relay import RecordRelay, RecordRelayParts
from carobwalk.relay._relay_directory import RELAY_PREFIX
from carobwalk.relay._relay_role import RelayHost

__all__ = (
    'RELAY_PREFIX',
    'RELAY_TOPIC',
    'FreshnessTimes',
    'RecordRelay',
    'RecordRelayParts',
    'RelayHost',
)
