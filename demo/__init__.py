"""Demo that runs small versions of both deployments as local processes."""
