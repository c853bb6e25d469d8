"""Command line for quetzalward operators."""
