"""Stand-ins of the platform's store, of servers and of clients."""
