"""Stand-ins for the platform, the backends, the operator and the clients."""
