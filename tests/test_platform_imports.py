"""Test of the libraries that the program on the users' platform needs."""

import importlib.metadata
import pathlib
import subprocess
import sys

_REQUIREMENTS = pathlib.Path(__file__).parent.parent / "deploy" / "requirements.txt"
# The program fails to import any library that the deploy file does not list.
_PROGRAM = """
import sys

class Blocked:
    def find_spec(self, name, path=None, target=None):
        if name.partition(".")[0] in sys.argv[1].split(","):
            raise ModuleNotFoundError(f"{name} is not in the deploy requirements")

sys.meta_path.insert(0, Blocked())
import eelgrasswick.platform.program
import eelgrasswick.platform.early
"""


def test_program_imports_only_the_libraries_of_the_deploy_file() -> None:
    """Guards against a program that starts in tests and fails on the platform."""
    listed = _REQUIREMENTS.read_text().splitlines()
    deployed = {line.partition("==")[0].lower() for line in listed}
    declared = importlib.metadata.requires("eelgrasswick") or []
    names = {item.partition("=")[0].partition(">")[0].strip() for item in declared}
    packages = importlib.metadata.packages_distributions()
    blocked = [
        module
        for module, distributions in packages.items()
        if not any(item.lower() in deployed for item in distributions)
        and any(item in names for item in distributions)
    ]
    assert "dpkt" in blocked
    subprocess.run([sys.executable, "-c", _PROGRAM, ",".join(blocked)], check=True)
