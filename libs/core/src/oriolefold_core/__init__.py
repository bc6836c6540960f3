"""Core types, errors, clocks and tasks of oriolefold."""
