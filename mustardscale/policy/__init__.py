"""Placement policies."""
