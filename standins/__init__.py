"""Small stand-ins for the systems around the router."""
