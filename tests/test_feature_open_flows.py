"""Open boards and downloads while VMs and targets are changed as planned."""

import pytest_bdd

# Callers hold flows open for minutes. A VM that is asked to leave, or a target
# that drains, changes who decides for them; a caller whose flow is then sent
# to another target sees its board stand still or its download cut.
pytest_bdd.scenarios("features/open_flows.feature")
