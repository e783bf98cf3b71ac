"""A TCP connection that is encrypted.

Apart from :mod:`boragefold.transport.streams` so that an instance without TLS
doesn't load the library: 4.2 MB of its 32.
"""

from __future__ import annotations

import socket
import ssl

from boragefold.transport import streams


class TlsStream(streams.Stream):
    """A connection over a socket that a TLS context has wrapped."""

    wants_read = (BlockingIOError, ssl.SSLWantReadError)
    wants_write = (ssl.SSLWantWriteError,)

    def is_readable(self) -> bool:
        """Tell whether bytes or the end of the connection wait to be read.

        :return: whether something was received, decrypted or not
        """
        if self._decrypted_bytes():
            return True
        try:
            # Encrypted bytes can be looked at without being taken.
            socket.socket.recv(self.sock, 1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def has_ended(self) -> bool:
        """Return False: encrypted bytes can't be read in advance.

        :return: False
        """
        return False

    def _decrypted_bytes(self) -> int:
        # Bytes that TLS has decrypted don't make the descriptor readable.
        assert isinstance(self.sock, ssl.SSLSocket)
        return self.sock.pending()


__all__ = [
    "TlsStream",
]
