"""Entry VM whose instances check fencing tokens themselves."""
