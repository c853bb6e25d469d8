"""Runs the node's command line with `python -m quetzalward_node`."""

from quetzalward_node import cli

if __name__ == "__main__":
    cli.main()
