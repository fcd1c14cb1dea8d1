"""The request directory, which records the host that serves each id."""
