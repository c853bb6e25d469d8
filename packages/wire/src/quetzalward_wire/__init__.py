"""Messages between quetzalward nodes."""
