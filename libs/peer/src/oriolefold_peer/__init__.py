"""Framed request-reply protocol between the daemons."""
