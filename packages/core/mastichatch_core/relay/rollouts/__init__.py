"""How the traffic of a service moves to a new version."""
