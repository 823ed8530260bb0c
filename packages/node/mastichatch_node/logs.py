"""Sets up logging as JSON lines on standard error."""

from typing import Final

from absl import flags, logging
from pythonjsonlogger import core, msgspec

_LEVELS: Final[dict[str, int]] = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}


def set_up_logging(node: str, level: str) -> None:
    """Write every log line as one JSON object to standard error.

    Each line has the fields ``time``, ``level``, ``node`` and ``event``, and
    the fields passed as ``extra``. Libraries that use the standard ``logging``
    module get the same format.

    :param node: name of this host, included in each line
    :param level: lowest level that is written
    :raises KeyError: for an unknown level
    """
    # absl writes a plain-text warning if its flags have not been parsed.
    flags.FLAGS.mark_as_parsed()
    flags.FLAGS['logtostderr'].value = True
    logging.use_absl_handler()
    logging.set_verbosity(_LEVELS[level])
    logging.get_absl_handler().setFormatter(create_formatter(node))


def create_formatter(node: str) -> msgspec.MsgspecFormatter:
    """Return the formatter of the log lines.

    :param node: name of this host, included in each line
    """
    return msgspec.MsgspecFormatter(
        '{levelname}{message}',
        style='{',
        rename_fields={'levelname': 'level', 'message': 'event'},
        static_fields={'node': node},
        timestamp='time',
        # uvicorn adds a copy of each message with terminal colours.
        reserved_attrs=(*core.RESERVED_ATTRS, 'color_message'),
    )
