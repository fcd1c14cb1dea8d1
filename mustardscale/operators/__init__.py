"""The operators' side: HTTP server and dumps of the state."""
