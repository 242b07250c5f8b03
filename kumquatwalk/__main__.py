"""Entry point of ``python -m kumquatwalk``."""

from kumquatwalk.cli.main import main

if __name__ == "__main__":
    main(prog_name="kumquatwalk")
