"""Register, rules and settings documents with validated models."""
