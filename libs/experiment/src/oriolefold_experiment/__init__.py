"""Plays load on a model, with the code that places requests for real."""
