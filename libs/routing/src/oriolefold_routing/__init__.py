"""Pure decisions about routes, balance, deadlines and retries."""
