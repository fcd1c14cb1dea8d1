"""Claims on the log: a non-idempotent request runs at most once."""
