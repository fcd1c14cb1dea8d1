"""The daemon's settings."""
