"""The settings file that the platform writes."""

import pathlib

from eelgrasswick import ini
from eelgrasswick.cookie import settings


class SettingsFile:
    """A settings file that can be read again when it changes.

    Attributes:
        settings: The settings of the last successful read.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Create the settings file of a path, and read it.

        Raises:
            errors.SettingsInvalidError: The file can't be used.
        """
        self._path = path
        self._text = ""
        self.settings = self.read()

    def read(self) -> settings.Settings:
        """Return the checked settings.

        Raises:
            errors.SettingsInvalidError: The file can't be used.
        """
        self._text = ini.text(self._path)
        self.settings = settings.read(self._text)
        return self.settings

    def changed(self) -> bool:
        """Return whether the file differs from the text that was last read."""
        return ini.text(self._path) != self._text
