"""A miniature of both deployments as separate processes."""
