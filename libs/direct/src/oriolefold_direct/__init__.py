"""Entry VM that sends to instances which check fencing tokens themselves."""
