"""Benchmarks of the policies and of the daemon."""
