"""Which host serves an id."""
