"""What a process records of requests and decisions."""
