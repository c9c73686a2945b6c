"""Run the command line as ``python -m eelgrasswick``."""

import eelgrasswick.commands.command

if __name__ == "__main__":
    eelgrasswick.commands.command.main()
