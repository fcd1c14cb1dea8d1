"""The callers' side: HTTP servers, bodies and answers."""
