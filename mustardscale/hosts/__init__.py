"""Which hosts and endpoints are there, and who owns what."""
