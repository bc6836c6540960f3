"""HTTP clients that report whether a failed request may have been sent."""
