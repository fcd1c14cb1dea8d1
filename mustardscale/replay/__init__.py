"""Recorded traces: reading, checks and deciding again."""
