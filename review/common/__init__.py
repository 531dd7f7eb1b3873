"""Stand-ins for the review's scripts: store, backend servers, clients."""
