"""The quetzalward node."""
