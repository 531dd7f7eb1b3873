"""Sending of requests to backend servers, and retries."""
