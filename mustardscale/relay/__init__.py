"""Requests that are relayed unread, along routes."""
