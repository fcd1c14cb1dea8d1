"""Quotas of customers over all hosts."""
