"""The oriolefold command-line tool."""
