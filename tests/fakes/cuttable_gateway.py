"""Runs a gateway whose new connections to endpoints can fail.

The file named in ``CUT_FILE`` lists the ``addresses`` that are cut off, and
where new connections go ``instead``.
"""

from __future__ import annotations

import json
import os
import pathlib
import runpy
import socket
import sys

CUT_FILE = pathlib.Path(os.environ["CUT_FILE"])
SOURCE = json.loads(
    pathlib.Path(os.environ["BORAGEFOLD_SETTINGS"]).read_text()
)["ip"]
_connect_ex = socket.socket.connect_ex


def connect_ex(sock, address):
    cut = json.loads(CUT_FILE.read_text()) if CUT_FILE.exists() else {}
    if sock.type == socket.SOCK_STREAM:
        # A proxy recognises the gateway by it.
        sock.bind((SOURCE, 0))
    if "{}:{}".format(*address) not in cut.get("addresses", ()):
        return _connect_ex(sock, address)
    host, _, port = cut["instead"].rpartition(":")
    return _connect_ex(sock, (host, int(port)))


socket.socket.connect_ex = connect_ex
sys.path.insert(0, "platform")
runpy.run_path("platform/run.py", run_name="__main__")
