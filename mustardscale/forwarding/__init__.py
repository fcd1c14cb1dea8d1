"""Calls to endpoints that this host does not reach, through other hosts."""
