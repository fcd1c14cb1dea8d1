"""Serving of requests, from arrival to the end of the answer."""
