"""Validated models of the register, the rules and the settings."""
