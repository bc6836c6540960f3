"""Tasks that hold, hand over and grant the ownership of keys."""
