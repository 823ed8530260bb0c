"""The node, the process that runs on every entry host."""
