"""Framed protocol between the daemons."""
