"""Engines and plain services, and the clients that call them."""
