"""Randomised runs of real router processes with external fault injection.

Store, backend servers and callers are stand-ins in the process of the soak;
each router is a separate process behind loopback proxies. The guarantees to
callers and backend servers are checked while faults are injected.
"""
