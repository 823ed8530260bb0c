"""Which endpoint gets a request, by what was measured of endpoints."""
