"""Orders to engines, under a fence."""
