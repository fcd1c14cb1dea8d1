"""Adapters between the users' platform and the router."""
