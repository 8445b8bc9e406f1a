"""The configuration that a process has in force."""

from __future__ import annotations

from .configuration import Configuration


class ConfigurationInForce:
    """The newest configuration received; an older revision never replaces it."""

    def __init__(self) -> None:
        self.current = Configuration()

    def update_if_newer(self, configuration: Configuration) -> bool:
        """Put a configuration in force if it is newer.

        :returns: whether it was newer.
        """
        if configuration.revision <= self.current.revision:
            return False
        self.current = configuration
        return True
