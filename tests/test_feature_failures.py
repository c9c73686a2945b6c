"""Open and new flows while VMs fail without warning."""

import pytest_bdd

# A VM loses its power, pauses for half a minute, or is replaced by another VM at
# the same address. Its records of flows are lost or outdated. The feature guards
# against boards that stop and, worse, against requests that run on a second
# target.
pytest_bdd.scenarios("features/failures.feature")
