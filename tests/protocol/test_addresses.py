"""What counts as an address."""

from __future__ import annotations

import pytest

from boragefold.protocol import addresses


@pytest.mark.parametrize(
    ("text", "valid"),
    [
        ("10.0.0.7:8000", True),
        ("10.0.0.7:65535", True),
        ("10.0.0.7:0", False),
        ("10.0.0.7:65536", False),
        ("10.0.0.7:²", False),
        ("10.0.0.7:٣", False),
        ("10.0.0.7:+80", False),
        ("10.0.0.7:" + "0" * 5000 + "80", False),
        ("10.0.0.7", False),
        ("10.0.0:80", False),
        ("replica.example:80", False),
        ("h" * 300 + ":80", False),
        ("", False),
    ],
)
def test_an_address_is_an_ip_number_and_a_port(text, valid):
    assert addresses.is_address(text) is valid
