"""Entry point of `python -m quetzalward_cli`."""

from quetzalward_cli import cli

if __name__ == "__main__":
    cli.main()
