"""OpenTelemetry metrics in the Prometheus text format."""

from carobwalk.metrics._counting_event_log import CountingEventLog
from carobwalk.metrics._gateway_meter import GatewayMeter
from carobwalk.metrics._measurement import Measurement
from carobwalk.metrics._metered_sender import MeteredSender
from carobwalk.metrics._metered_store import MeteredStore
from carobwalk.metrics._metrics import Metrics
from carobwalk.metrics._observable_instrument import ObservableInstrument
from carobwalk.metrics._process_usage import cpu_seconds, resident_bytes
from carobwalk.metrics._scrape_handler import SCRAPE_PATH, ScrapeHandler

__all__ = (
    'SCRAPE_PATH',
    'CountingEventLog',
    'GatewayMeter',
    'Measurement',
    'MeteredSender',
    'MeteredStore',
    'Metrics',
    'ObservableInstrument',
    'ScrapeHandler',
    'cpu_seconds',
    'resident_bytes',
)
