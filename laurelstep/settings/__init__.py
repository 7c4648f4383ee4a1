"""Reads and validates a copy's configuration: the platform's JSON and the operator's TOML.

Both are converted to a `Config` with the same checks. An invalid configuration raises `ConfigError`, whose
text is one line that names the file, the key and what was expected.
"""

from laurelstep.settings.config import Config, ConfigError, config_from, parse_address
from laurelstep.settings.platform import read_file, read_platform

__all__ = ["Config", "ConfigError", "config_from", "parse_address", "read_file", "read_platform"]
