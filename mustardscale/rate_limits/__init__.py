"""Rate limits that endpoints state and that all hosts keep to together."""
