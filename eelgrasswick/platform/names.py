"""Names of the users' platform that more than one program uses.

The stand-ins of the soak test use them too, so that each name is defined once.
"""

import typing

SETTINGS_VARIABLE: typing.Final = "EELGRASSWICK_CONFIG"
READY_PATH: typing.Final = "/api/readyz"
RANGE_PATH: typing.Final = "/api/kv-range"
WATCH_PATH: typing.Final = "/api/kv-watch"
CONFIG_KEY: typing.Final = "op/config"
EVACUATION_PREFIX: typing.Final = "op/evacuate/"
TARGET_PREFIX: typing.Final = "servers/"
