"""Pools of engines: admission, pool owners and reservations."""
