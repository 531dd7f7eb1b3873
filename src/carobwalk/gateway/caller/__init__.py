"""Connections from callers: reading of requests, and their answers."""
