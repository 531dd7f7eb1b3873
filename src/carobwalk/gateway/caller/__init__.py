"""Connections from callers: reading of requests, and their answers."""

from carobwalk.gateway.caller._gateway_server import GatewayServer
from carobwalk.gateway.caller._gateway_service import GatewayService
from carobwalk.gateway.caller._request_meter import (
    NullRequestMeter,
    RequestMeter,
)

__all__ = (
    'GatewayServer',
    'GatewayService',
    'NullRequestMeter',
    'RequestMeter',
)
