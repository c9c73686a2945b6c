"""The settings file that the platform writes."""

import pathlib

from eelgrasswick import ini
from eelgrasswick.cookie import settings


class SettingsFile:
    """The settings file, read again when it changes.

    Attributes:
        settings: What it last held.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Read the file at a path.

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
        """Tell whether the file holds something else than was last read."""
        return ini.text(self._path) != self._text
