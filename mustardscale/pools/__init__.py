"""Pools of engines: admission, their owners and what is held."""
