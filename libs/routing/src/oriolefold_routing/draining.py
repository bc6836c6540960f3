"""Decides which requests a VM that is about to stop may still send."""

ANSWER_MARGIN_S = 0.1  # Time to write an answer before the stop.


def may_send(expires_at_s: float, stops_at_s: float) -> bool:
    """Returns whether a request is sure to end before the stop of a VM.

    A request that is cut at the stop has an unknown outcome; one that is
    refused can be sent by another VM at once.

    Args:
        expires_at_s: When the request ends in any case.
        stops_at_s: When the VM ends the requests in progress; infinity if it
            is not about to stop.
    """
    return expires_at_s <= stops_at_s - ANSWER_MARGIN_S
