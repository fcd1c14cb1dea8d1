"""Relays requests along routes without reading their content."""
