"""Which generations are admitted, in which order, and which are refused."""
