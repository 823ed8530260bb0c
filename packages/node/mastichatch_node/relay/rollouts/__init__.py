"""How a node takes part in moving services to new versions."""
