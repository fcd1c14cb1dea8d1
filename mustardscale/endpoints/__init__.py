"""The endpoints' side: engines and plain services, and their clients."""
