"""What a copy is told at its start: the platform's JSON and the operator's TOML.

Both end in one `Config`, by the same checks; what can't be used is a `ConfigError`
whose text is one line that names the file, the key and what was expected.
"""

from laurelstep.settings.config import Config, ConfigError, address, config_from
from laurelstep.settings.platform import read_file, read_platform

__all__ = ["Config", "ConfigError", "address", "config_from", "read_file", "read_platform"]
