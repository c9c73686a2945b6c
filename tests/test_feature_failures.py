"""Open flows, and new ones, while VMs fail without warning."""

import pytest_bdd

# A VM loses its power, stands still for half a minute, or comes back as
# another VM under the same address. What it knew of its flows is gone or old.
# A caller would see its board stop, or, worse, its check-in run elsewhere.
pytest_bdd.scenarios("features/failures.feature")
