"""Benchmarks, each with the naive baseline's figures from the same run."""
