"""Parser of the addresses in command-line arguments."""

import ipaddress

from oriolefold_core import data, errors, findings


def parse(text: str, location: str) -> data.Address:
    """Parses an IP address with a port, such as `127.0.0.1:9000`.

    Args:
        text: The argument.
        location: Where it was given, such as `--store`; named in the finding.

    Raises:
        ConfigurationError: If the text is not an IP address with a port.
    """
    host, _, port = str(text).rpartition(':')
    try:
        ipaddress.ip_address(host)
        number = int(port)
        if not 1 <= number <= 65535:
            raise ValueError('port out of range')
    except ValueError as error:
        finding = findings.Finding(
            findings.Location(location), f'{text!r} is not IP:PORT ({error})'
        )
        raise errors.ConfigurationError((finding,)) from error
    return data.Address(host, number)


def parse_list(text: object, location: str) -> list[data.Address]:
    """Parses addresses that are separated by commas.

    Raises:
        ConfigurationError: If one of them is not an IP address with a port.
    """
    # Fire parses an argument such as `a,b` into a tuple.
    parts = text if isinstance(text, (tuple, list)) else str(text).split(',')
    return [parse(part, location) for part in parts]
