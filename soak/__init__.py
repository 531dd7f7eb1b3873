"""Randomised runs of real processes under faults from outside them.

Store, backend servers and callers are stand-ins in the soak's own process;
each router is a process of its own behind loopback links. The promises to
callers and backend servers are checked while the faults go on.
"""
