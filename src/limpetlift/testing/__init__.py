"""Stand-ins for the store, the fabric and a backend server."""
