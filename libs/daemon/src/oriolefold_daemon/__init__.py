"""The oriolefoldd daemon."""
