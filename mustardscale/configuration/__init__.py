"""The configuration: its records, publication and distribution to hosts."""
