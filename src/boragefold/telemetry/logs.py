"""Logs of state changes, as text or as JSON."""

from __future__ import annotations

import logging as standard_logging

from absl import logging
import msgspec


class JsonFormatter(standard_logging.Formatter):
    """Formats each record as one line of JSON."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Format a record.

        :param record: the log record
        :return: JSON
        """
        line = {
            "time": self.formatTime(record),
            "level": record.levelname,
            "module": record.module,
            "message": record.getMessage(),
        }
        return msgspec.json.encode(line).decode()


class WarningLog:
    """Writes events as warnings of the process."""

    def write(self, event: str, **fields: object) -> None:
        """Write a line.

        :param event: the kind of event
        :param fields: what it says
        """
        logging.warning("%s %s", event, fields)


def begin(*, json_lines: bool) -> None:
    """Send log lines to standard error.

    :param json_lines: whether to write JSON instead of text
    """
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = logging.get_absl_handler()
    if json_lines:
        handler.setFormatter(JsonFormatter())


__all__ = [
    "JsonFormatter",
    "WarningLog",
    "begin",
]
