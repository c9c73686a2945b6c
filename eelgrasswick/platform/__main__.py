"""Starts the program that runs on the users' platform."""

from eelgrasswick.platform import early_signals

# The default action of both signals ends the process, and the imports of the program
# take most of its start.
_SIGNALS = early_signals.EarlySignals()

from eelgrasswick.platform import start  # noqa: E402

start.main(_SIGNALS)
