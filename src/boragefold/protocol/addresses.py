"""Addresses that connections are opened to: an IPv4 number and a port."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def is_address(text: str) -> bool:
    """Tell whether a text is an IPv4 number and a port.

    A name would have to be looked up, which stops the whole loop meanwhile.

    :param text: such as ``10.0.0.7:8000``
    :return: whether it is
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return is_port(port)


def is_port(text: str) -> bool:
    """Tell whether a text is the number of a port.

    :param text: any text; digits of other scripts are none
    :return: whether it is
    """
    return (
        text.isascii()
        and text.isdigit()
        and len(text) <= MAX_PORT_DIGITS
        and 0 < int(text) <= MAX_PORT
    )


__all__ = [
    "MAX_PORT",
    "is_address",
    "is_port",
]
