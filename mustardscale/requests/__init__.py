"""Requests from arrival to answer."""
