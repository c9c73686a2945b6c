"""Open boards and downloads during planned changes of VMs and targets."""

import pytest_bdd

# Callers keep flows open for minutes. A VM that leaves or a target that drains
# changes which VMs decide about open flows. The feature guards against packets of
# an open flow that are then sent to another target, which stops a board or
# truncates a download.
pytest_bdd.scenarios("features/open_flows.feature")
