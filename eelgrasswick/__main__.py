"""Run the command line as ``python -m eelgrasswick``."""

import eelgrasswick.command

if __name__ == "__main__":
    eelgrasswick.command.main()
