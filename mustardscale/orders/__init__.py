"""Orders to engines, protected by fencing numbers."""
