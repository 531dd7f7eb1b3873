"""Stand-ins for the platform and backend servers; not part of the product."""
