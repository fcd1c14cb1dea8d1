"""Finds what crashes endpoints, and keeps it off them on all hosts."""
